package org.sardineport.settings.yaml;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * A section of keys and values. Each value that is asked for marks its key as known;
 * {@link #finish()} then refuses the other keys. A value with a fault is reported and the
 * caller gets null or the default, so that reading goes on to the next fault. Not safe
 * for use by several threads.
 */
public final class Section {

	private final String path;

	private final int line;

	private final FaultList faults;

	private final Map<String, Node> values = new LinkedHashMap<>();

	private final Map<String, Integer> lines = new HashMap<>();

	private final Set<String> known = new LinkedHashSet<>();

	private Section(String path, int line, FaultList faults) {
		this.path = path;
		this.line = line;
		this.faults = faults;
	}

	static Section of(MappingNode node, String path, FaultList faults) {
		Section section = new Section(path, node.getStartMark().getLine() + 1, faults);
		for (NodeTuple tuple : node.getValue()) {
			section.add(tuple);
		}
		return section;
	}

	private static Section empty(String path, FaultList faults) {
		return new Section(path, 0, faults);
	}

	private void add(NodeTuple tuple) {
		int keyLine = tuple.getKeyNode().getStartMark().getLine() + 1;
		if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
			this.faults.add(this.path, keyLine, "a list or section as a key", "write a plain word as key");
			return;
		}
		String name = key.getValue();
		if (this.values.putIfAbsent(name, tuple.getValueNode()) != null) {
			this.faults.add(child(name), keyLine, "the key a second time", "keep one of the two");
			return;
		}
		this.lines.put(name, keyLine);
	}

	/**
	 * Returns where a key of this section is.
	 * @param key the key
	 * @return its path
	 */
	public String child(String key) {
		String shown = key.replaceAll("\\p{Cntrl}", "?");
		return this.path.isEmpty() ? shown : this.path + "." + shown;
	}

	/**
	 * Reports a fault of a key's value.
	 * @param key the key
	 * @param found what stands there; never a secret
	 * @param remedy what to write instead
	 */
	public void fault(String key, String found, String remedy) {
		this.faults.add(child(key), this.lines.getOrDefault(key, this.line), found, remedy);
	}

	/**
	 * Returns whether a key stands in the section.
	 * @param key the key
	 * @return whether it does
	 */
	public boolean has(String key) {
		return this.values.containsKey(key);
	}

	/**
	 * Returns a required value.
	 * @param key its key
	 * @param format the form of the value
	 * @param <T> type of the value
	 * @return the value, or null if it is missing or has a fault, which is then reported
	 */
	public <T> @Nullable T required(String key, ScalarFormat<T> format) {
		this.known.add(key);
		Node node = this.values.get(key);
		if (node == null) {
			this.faults.add(child(key), this.line, "nothing", "write " + format.expectation());
			return null;
		}
		return scalar(node, child(key), format);
	}

	/**
	 * Returns a value that may be left out.
	 * @param key its key
	 * @param format the form of the value
	 * @param otherwise what holds if the key is absent
	 * @param <T> type of the value
	 * @return the value, or {@code otherwise} if it is absent or has a fault, which is
	 * then reported
	 */
	public <T> T optional(String key, ScalarFormat<T> format, T otherwise) {
		this.known.add(key);
		Node node = this.values.get(key);
		T value = (node != null) ? scalar(node, child(key), format) : null;
		return (value != null) ? value : otherwise;
	}

	/**
	 * Returns a list of values.
	 * @param key its key; an absent key is an empty list
	 * @param format the form of each value
	 * @param maximum most values
	 * @param <T> type of the values
	 * @return the values without those that have a fault
	 */
	public <T> List<T> list(String key, ScalarFormat<T> format, int maximum) {
		List<T> result = new ArrayList<>();
		int index = 0;
		for (Node item : items(key, maximum)) {
			T value = scalar(item, child(key) + "[" + index + "]", format);
			if (value != null) {
				result.add(value);
			}
			index++;
		}
		return result;
	}

	/**
	 * Returns a list of sections.
	 * @param key its key; an absent key is an empty list
	 * @param maximum most sections
	 * @param reader turns a section into a value, or null if it has a fault
	 * @param <T> type of the values
	 * @return the values without those that have a fault
	 */
	public <T> List<T> sections(String key, int maximum, Function<Section, @Nullable T> reader) {
		List<T> result = new ArrayList<>();
		int index = 0;
		for (Node item : items(key, maximum)) {
			String itemPath = child(key) + "[" + index + "]";
			if (item instanceof MappingNode mapping) {
				T value = reader.apply(of(mapping, itemPath, this.faults));
				if (value != null) {
					result.add(value);
				}
			}
			else {
				this.faults.add(itemPath, lineOf(item), kindOf(item), "write a section of keys and values");
			}
			index++;
		}
		return result;
	}

	/**
	 * Returns a section inside this one.
	 * @param key its key
	 * @return the section; an empty one if the key is absent or has a fault
	 */
	public Section section(String key) {
		this.known.add(key);
		Node node = this.values.get(key);
		if (node instanceof MappingNode mapping) {
			return of(mapping, child(key), this.faults);
		}
		if (node != null) {
			this.faults.add(child(key), lineOf(node), kindOf(node), "write a section of keys and values");
		}
		return empty(child(key), this.faults);
	}

	/**
	 * Refuses all keys that were not asked for.
	 */
	public void finish() {
		for (String key : this.values.keySet()) {
			if (!this.known.contains(key)) {
				fault(key, "an unknown key", "remove it, or write one of: " + String.join(", ", this.known));
			}
		}
	}

	private List<Node> items(String key, int maximum) {
		this.known.add(key);
		Node node = this.values.get(key);
		if (node == null) {
			return List.of();
		}
		if (!(node instanceof SequenceNode sequence)) {
			this.faults.add(child(key), lineOf(node), kindOf(node), "write a list, each entry after a dash");
			return List.of();
		}
		if (sequence.getValue().size() > maximum) {
			this.faults.add(child(key), lineOf(node), sequence.getValue().size() + " entries",
					"write at most %d entries".formatted(maximum));
			return List.of();
		}
		return sequence.getValue();
	}

	private <T> @Nullable T scalar(Node node, String place, ScalarFormat<T> format) {
		if (!(node instanceof ScalarNode scalar)) {
			this.faults.add(place, lineOf(node), kindOf(node), "write " + format.expectation());
			return null;
		}
		try {
			return format.parse(scalar.getValue());
		}
		catch (IllegalArgumentException ex) {
			this.faults.add(place, lineOf(node), format.found(scalar.getValue()), "write " + format.expectation());
			return null;
		}
	}

	private static int lineOf(Node node) {
		return node.getStartMark().getLine() + 1;
	}

	private static String kindOf(Node node) {
		if (node instanceof ScalarNode scalar) {
			return scalar.getValue().isEmpty() ? "nothing" : "a single value";
		}
		return (node instanceof SequenceNode) ? "a list" : "a section";
	}

}
