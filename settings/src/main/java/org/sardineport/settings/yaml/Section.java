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
 * A section of keys and values. Reading a value marks its key as known;
 * {@link #rejectUnknownKeys()} then reports all other keys. For an invalid value a fault
 * is recorded and null or the default is returned, so that all faults of a document are
 * found in one pass. Not thread-safe.
 */
public final class Section {

	private final String path;

	private final int line;

	private final FaultList faults;

	private final Map<String, Node> values = new LinkedHashMap<>();

	private final Map<String, Integer> lines = new HashMap<>();

	private final Set<String> knownKeys = new LinkedHashSet<>();

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
			this.faults.add(child(name), keyLine, "a duplicate key", "keep one of the two");
			return;
		}
		this.lines.put(name, keyLine);
	}

	/**
	 * Returns the path of a key of this section.
	 * @param key the key
	 * @return the path within the document, with dots between the keys
	 */
	public String child(String key) {
		String printableKey = key.replaceAll("\\p{Cntrl}", "?");
		return this.path.isEmpty() ? printableKey : this.path + "." + printableKey;
	}

	/**
	 * Records a fault of a value.
	 * @param key key of the value
	 * @param found description of the value found; must not contain a secret
	 * @param remedy description of a valid value
	 */
	public void fault(String key, String found, String remedy) {
		this.faults.add(child(key), this.lines.getOrDefault(key, this.line), found, remedy);
	}

	/**
	 * Returns whether the section contains a key.
	 * @param key the key
	 * @return whether the key is present
	 */
	public boolean has(String key) {
		return this.values.containsKey(key);
	}

	/**
	 * Reads a required value.
	 * @param key key of the value
	 * @param format format of the value
	 * @param <T> type of the value
	 * @return the value, or null after recording a fault if it is missing or invalid
	 */
	public <T> @Nullable T required(String key, ScalarFormat<T> format) {
		this.knownKeys.add(key);
		Node node = this.values.get(key);
		if (node == null) {
			this.faults.add(child(key), this.line, "nothing", "write " + format.expectation());
			return null;
		}
		return scalar(node, child(key), format);
	}

	/**
	 * Reads an optional value.
	 * @param key key of the value
	 * @param format format of the value
	 * @param defaultValue value to use if the key is absent
	 * @param <T> type of the value
	 * @return the value, or {@code defaultValue} if it is absent or, after recording a
	 * fault, if it is invalid
	 */
	public <T> T optional(String key, ScalarFormat<T> format, T defaultValue) {
		this.knownKeys.add(key);
		Node node = this.values.get(key);
		T value = (node != null) ? scalar(node, child(key), format) : null;
		return (value != null) ? value : defaultValue;
	}

	/**
	 * Reads a list of values.
	 * @param key key of the list
	 * @param format format of each value
	 * @param maximum maximum number of values
	 * @param <T> type of the values
	 * @return the valid values; empty if the key is absent or the list is too long
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
	 * Reads a list of sections.
	 * @param key key of the list
	 * @param maximum maximum number of sections
	 * @param reader converts a section to a value, or to null if it is invalid
	 * @param <T> type of the values
	 * @return the valid values; empty if the key is absent or the list is too long
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
	 * Returns a nested section.
	 * @param key key of the section
	 * @return the section; empty if the key is absent or, after recording a fault, if its
	 * value is not a section
	 */
	public Section section(String key) {
		this.knownKeys.add(key);
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
	 * Records a fault for each key that has not been read. To be called after all values
	 * have been read.
	 */
	public void rejectUnknownKeys() {
		for (String key : this.values.keySet()) {
			if (!this.knownKeys.contains(key)) {
				fault(key, "an unknown key", "remove it, or write one of: " + String.join(", ", this.knownKeys));
			}
		}
	}

	private List<Node> items(String key, int maximum) {
		this.knownKeys.add(key);
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

	private <T> @Nullable T scalar(Node node, String valuePath, ScalarFormat<T> format) {
		if (!(node instanceof ScalarNode scalar)) {
			this.faults.add(valuePath, lineOf(node), kindOf(node), "write " + format.expectation());
			return null;
		}
		try {
			return format.parse(scalar.getValue());
		}
		catch (IllegalArgumentException ex) {
			this.faults.add(valuePath, lineOf(node), format.describe(scalar.getValue()),
					"write " + format.expectation());
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
