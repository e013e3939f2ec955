package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.OrganisationLimit;
import org.sardineport.core.limit.QuotaAccount;
import org.sardineport.core.limit.QuotaLeases;
import org.sardineport.core.limit.QuotaPool;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Both sides of the organisations' token limits: the accounts of this daemon as an entry,
 * and the leases of the organisations whose quota owner it is. Not thread-safe.
 */
final class OrganisationQuotas {

	/**
	 * Time after the start of a daemon, in milliseconds, within which a new account
	 * treats tokens as spent that an earlier process may have spent.
	 */
	private static final long STARTUP_MILLIS = 10_000;

	private final PoolDirectory directory;

	private final MessageOutbox outbox;

	private final long startedAt;

	private final Map<OrganisationId, QuotaAccount> accounts = new HashMap<>();

	private final Map<OrganisationId, QuotaLeases> leases = new HashMap<>();

	private final Map<OrganisationId, QuotaPool> pools = new HashMap<>();

	private final TokenWaitingList waiting = new TokenWaitingList();

	OrganisationQuotas(PoolDirectory directory, MessageOutbox outbox, long startedAt) {
		this.directory = directory;
		this.outbox = outbox;
		this.startedAt = startedAt;
	}

	/**
	 * Charges the tokens of an arriving request to its organisation. If the account does
	 * not cover them, but the owner of the limit may, the decision waits for its reply.
	 * @param request the request
	 * @param now the current time in milliseconds
	 * @param decision receives the refusal, or empty if the organisation is within its
	 * limit; called at once or later, unless the request is abandoned
	 */
	void spend(SchedulingRequest request, long now, Consumer<Optional<Refusal>> decision) {
		OrganisationLimit limit = request.organisationLimit();
		if (!limit.isLimited()) {
			decision.accept(Optional.empty());
			return;
		}
		QuotaAccount account = this.accounts.computeIfAbsent(request.organisation(), (key) -> openAccount(limit, now));
		if (spendAtOnce(account, request, now)) {
			sendDemand(request.organisation(), account, now);
			decision.accept(Optional.empty());
		}
		else {
			waitOrRefuse(account, request, now, decision);
		}
	}

	private boolean spendAtOnce(QuotaAccount account, SchedulingRequest request, long now) {
		OrganisationLimit limit = request.organisationLimit();
		boolean mayOverdraw = request.tier().isTop() || !limit.hasBurst();
		return mayOverdraw
				? account.spend(request.organisationTokens(), request.tier().isTop(), limit, this.directory.sharers(),
						now)
				: account.spendIfCovered(request.organisationTokens(), limit, this.directory.sharers(), now);
	}

	// A demand that is on its way does not include the request; the next one does.
	private void waitOrRefuse(QuotaAccount account, SchedulingRequest request, long now,
			Consumer<Optional<Refusal>> decision) {
		boolean earlierDemand = account.isAwaitingSlice(now);
		account.hold(request.organisationTokens());
		sendDemand(request.organisation(), account, now);
		if (account.isAwaitingSlice(now)) {
			long sequence = account.sequence() + (earlierDemand ? 1 : 0);
			this.waiting.add(new TokenWaitingList.Waiting(request, sequence, now, decision));
		}
		else {
			account.endHold(request.organisationTokens());
			decision.accept(Optional.of(refusal(account, now)));
		}
	}

	/**
	 * Drops the decision on a request. Has no effect once it has been taken.
	 * @param request the request
	 */
	void abandon(RequestId request) {
		TokenWaitingList.Waiting abandoned = this.waiting.remove(request);
		QuotaAccount account = (abandoned != null) ? this.accounts.get(abandoned.request().organisation()) : null;
		if (abandoned != null && account != null) {
			account.endHold(abandoned.request().organisationTokens());
		}
	}

	private void decideAnswered(OrganisationId organisation, QuotaAccount account, long now) {
		this.waiting.remove(organisation, (each) -> each.demandSequence() <= account.answeredSequence())
			.forEach((each) -> decide(each, account, account.spendAnswered(each.request().organisationTokens()), now));
	}

	private void decideOverdue(OrganisationId organisation, QuotaAccount account, long now) {
		this.waiting.remove(organisation, (each) -> now - each.since() >= QuotaAccount.REPLY_TIMEOUT_MILLIS)
			.forEach((each) -> decide(each, account, account.spendOverdue(each.request().organisationTokens(), now),
					now));
	}

	private void decide(TokenWaitingList.Waiting decided, QuotaAccount account, boolean allowed, long now) {
		decided.decision().accept((allowed) ? Optional.empty() : Optional.of(refusal(account, now)));
	}

	private static Refusal refusal(QuotaAccount account, long now) {
		return Refusal.retryAfter(RefusalReason.ORGANISATION_LIMIT,
				"the organisation used up its tokens: " + account.describe(now),
				Duration.ofMillis(account.retryAfterMillis()));
	}

	private QuotaAccount openAccount(OrganisationLimit limit, long now) {
		int sharers = this.directory.sharers();
		boolean justStarted = now - this.startedAt < STARTUP_MILLIS;
		return justStarted ? QuotaAccount.openAfterStart(limit, sharers, now) : QuotaAccount.open(limit, sharers, now);
	}

	/**
	 * Refunds the tokens of a request that did not run.
	 * @param request the request
	 */
	void refund(SchedulingRequest request) {
		QuotaAccount account = this.accounts.get(request.organisation());
		if (account != null && request.organisationTokensPerSecond() > 0) {
			account.refund(request.organisationTokens());
		}
	}

	/**
	 * Returns how long {@link #tick} has nothing to do, provided that no request and no
	 * slice comes before.
	 * @param now the current time in milliseconds
	 * @return milliseconds, at most {@link QuotaAccount#PERIOD_MILLIS}
	 */
	long millisUntilTickDue(long now) {
		if (!this.waiting.isEmpty()) {
			return 0;
		}
		long due = now + QuotaAccount.PERIOD_MILLIS;
		for (QuotaAccount account : this.accounts.values()) {
			due = Math.min(due, account.reportDueAt());
		}
		return Math.max(0, due - now);
	}

	void tick(long now) {
		List.copyOf(this.accounts.entrySet()).forEach((entry) -> tick(entry.getKey(), entry.getValue(), now));
		this.accounts.values().removeIf((account) -> account.isIdle(now));
	}

	private void tick(OrganisationId organisation, QuotaAccount account, long now) {
		decideOverdue(organisation, account, now);
		sendDemand(organisation, account, now);
	}

	private void sendDemand(OrganisationId organisation, QuotaAccount account, long now) {
		long wanted = account.demandToReport(now);
		if (wanted >= 0) {
			this.outbox.send(this.directory.quotaOwner(organisation),
					new QuotaRequest(organisation, wanted, account.limit(), account.sequence()));
		}
	}

	void onQuotaRequest(DaemonId entry, QuotaRequest request, long now) {
		OrganisationLimit limit = request.limit();
		long rate = this.directory.reachableShare(limit.tokensPerSecond());
		long tokens = limit.hasBurst()
				? pool(request.organisation(), limit, now).lease(request.tokens(), rate, limit,
						this.directory.sharers(), now)
				: leases(request.organisation()).lease(entry, request.tokens(), rate, now);
		this.outbox.send(entry, new QuotaSlice(request.organisation(), tokens,
				Duration.ofMillis(QuotaLeases.SLICE_MILLIS), request.sequence()));
	}

	private QuotaPool pool(OrganisationId organisation, OrganisationLimit limit, long now) {
		return this.pools.computeIfAbsent(organisation, (key) -> QuotaPool.open(limit, now));
	}

	private QuotaLeases leases(OrganisationId organisation) {
		return this.leases.computeIfAbsent(organisation, (key) -> QuotaLeases.create());
	}

	void onQuotaSlice(QuotaSlice slice, long now) {
		QuotaAccount account = this.accounts.get(slice.organisation());
		if (account != null) {
			account.lease(slice.tokens(), slice.valid().toMillis(), slice.sequence(), now);
			decideAnswered(slice.organisation(), account, now);
			sendDemand(slice.organisation(), account, now);
		}
	}

}
