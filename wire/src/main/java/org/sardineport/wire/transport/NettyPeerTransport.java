package org.sardineport.wire.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerListener;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.core.port.peer.PeerTransport;

/**
 * Sends each message as one authenticated UDP datagram. Frames are signed and verified,
 * and listeners called, on a single thread owned by the transport. Thread-safe.
 */
public final class NettyPeerTransport implements PeerTransport {

	/**
	 * Maximum size of an encoded message in bytes; the rest of the frame is reserved for
	 * the header and the fields of the envelope.
	 */
	public static final int MAXIMUM_MESSAGE_BYTES = FrameCodec.MAX_FRAME_BYTES - 1024;

	/** Maximum number of messages in the send queue. */
	private static final int MAX_QUEUED_MESSAGES = 8192;

	private static final int RECEIVE_BUFFER_BYTES = 1024 * 1024;

	private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

	private final PeerIdentity identity;

	private final FrameCodec frames;

	private final TransportListener transportListener;

	private final List<Subscription> subscriptions = new CopyOnWriteArrayList<>();

	private final AtomicInteger queued = new AtomicInteger();

	private final EventLoopGroup group;

	private volatile @Nullable Channel channel;

	private NettyPeerTransport(PeerIdentity identity, FrameCodec frames, TransportListener transportListener) {
		this.identity = identity;
		this.frames = frames;
		this.transportListener = transportListener;
		this.group = new MultiThreadIoEventLoopGroup(1,
				new DefaultThreadFactory("peer-transport-" + identity.daemon(), true), NioIoHandler.newFactory());
	}

	/**
	 * Creates a transport without starting it.
	 * @param identity identity of this daemon
	 * @param codecs the codecs, one for each body of the envelope
	 * @param clock source of the frames' timestamps
	 * @param transportListener listener for metrics of frames and drops
	 * @return the transport
	 * @throws IllegalArgumentException if two codecs use the same body
	 */
	public static NettyPeerTransport create(PeerIdentity identity, List<PeerCodec<?>> codecs, InstantSource clock,
			TransportListener transportListener) {
		Objects.requireNonNull(identity, "identity must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(transportListener, "transportListener must not be null");
		return new NettyPeerTransport(identity, FrameCodec.create(identity, CodecRegistry.of(codecs), clock),
				transportListener);
	}

	@Override
	public void listen(Class<? extends PeerMessage> type, PeerListener listener) {
		Objects.requireNonNull(type, "type must not be null");
		Objects.requireNonNull(listener, "listener must not be null");
		this.subscriptions.add(new Subscription(type, listener));
	}

	@Override
	public CompletionStage<Void> start() {
		CompletableFuture<Void> started = new CompletableFuture<>();
		ChannelFuture bound = new Bootstrap().group(this.group)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(FrameCodec.MAX_FRAME_BYTES + 1))
			.handler(new Receiver())
			.bind(socketAddress(this.identity.address()));
		bound.addListener((Future<Void> future) -> {
			if (future.isSuccess()) {
				this.channel = bound.channel();
				started.complete(null);
			}
			else {
				started.completeExceptionally(future.cause());
			}
		});
		return started;
	}

	@Override
	public CompletionStage<Void> stop() {
		CompletableFuture<Void> stopped = new CompletableFuture<>();
		this.group.terminationFuture().addListener((future) -> stopped.complete(null));
		Channel open = this.channel;
		this.channel = null;
		if (open == null) {
			shutDown();
		}
		else {
			// Closes the channel after the queued messages have been sent.
			open.eventLoop().execute(() -> open.close().addListener((future) -> shutDown()));
		}
		return stopped;
	}

	private void shutDown() {
		this.group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void send(NetworkAddress to, PeerMessage message) {
		Objects.requireNonNull(to, "to must not be null");
		Objects.requireNonNull(message, "message must not be null");
		Channel open = this.channel;
		if (open == null || !open.isActive()) {
			this.transportListener.dropped(DropReason.SEND_FAILED);
			return;
		}
		if (this.queued.incrementAndGet() > MAX_QUEUED_MESSAGES) {
			this.queued.decrementAndGet();
			this.transportListener.dropped(DropReason.SEND_QUEUE_FULL);
			return;
		}
		try {
			open.eventLoop().execute(() -> write(open, to, message));
		}
		catch (RejectedExecutionException ex) {
			this.queued.decrementAndGet();
			this.transportListener.dropped(DropReason.SEND_FAILED);
		}
	}

	private void write(Channel open, NetworkAddress to, PeerMessage message) {
		this.queued.decrementAndGet();
		try {
			byte[] frame = this.frames.encode(to, message);
			open.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(frame), socketAddress(to)))
				.addListener((future) -> {
					if (future.isSuccess()) {
						this.transportListener.sent(message, frame.length);
					}
					else {
						this.transportListener.dropped(DropReason.SEND_FAILED);
					}
				});
		}
		catch (FrameDroppedException ex) {
			this.transportListener.dropped(ex.reason());
		}
		catch (IllegalArgumentException ex) {
			this.transportListener.dropped(DropReason.MALFORMED);
		}
	}

	private void receive(byte[] frame) {
		ReceivedMessage received;
		try {
			received = this.frames.decode(frame);
		}
		catch (FrameDroppedException ex) {
			this.transportListener.dropped(ex.reason());
			return;
		}
		this.transportListener.received(received.message(), frame.length);
		for (Subscription subscription : this.subscriptions) {
			if (subscription.type().isInstance(received.message())) {
				deliver(received, subscription.listener());
			}
		}
	}

	private void deliver(ReceivedMessage received, PeerListener listener) {
		try {
			listener.received(received.sender(), received.incarnation(), received.senderAddress(), received.message());
		}
		catch (RuntimeException ex) {
			this.transportListener.listenerFailed(received.sender(), ex);
		}
	}

	private static InetSocketAddress socketAddress(NetworkAddress address) {
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address.ip());
		if (bytes == null) {
			throw new IllegalArgumentException("address must be an IP number, found '%s'".formatted(address.ip()));
		}
		try {
			return new InetSocketAddress(InetAddress.getByAddress(bytes), address.port());
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("address must be an IP number, found '%s'".formatted(address.ip()), ex);
		}
	}

	/**
	 * A listener and the type of the messages that it receives.
	 *
	 * @param type type of the messages
	 * @param listener the listener
	 */
	private record Subscription(Class<? extends PeerMessage> type, PeerListener listener) {

	}

	/**
	 * Passes received datagrams to the transport.
	 */
	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			receive(ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			NettyPeerTransport.this.transportListener.dropped(DropReason.MALFORMED);
		}

	}

}
