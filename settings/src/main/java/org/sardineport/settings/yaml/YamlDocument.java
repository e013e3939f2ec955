package org.sardineport.settings.yaml;

import java.io.StringReader;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.InvalidDocumentException;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.events.AliasEvent;
import org.yaml.snakeyaml.events.CollectionEndEvent;
import org.yaml.snakeyaml.events.CollectionStartEvent;
import org.yaml.snakeyaml.events.DocumentStartEvent;
import org.yaml.snakeyaml.events.Event;
import org.yaml.snakeyaml.events.NodeEvent;
import org.yaml.snakeyaml.events.ScalarEvent;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.representer.Representer;

/**
 * Parses the YAML text of one document within limits. Anchors, aliases, tags and multiple
 * documents are rejected, so that each value stands in the text where it applies.
 */
public final class YamlDocument {

	private YamlDocument() {
	}

	/**
	 * Parses a document.
	 * @param name kind of the document, for the message of an exception
	 * @param text the text of the document
	 * @param limits limits on the document
	 * @param faults receives the faults that are found when the section's values are read
	 * @return the root section
	 * @throws InvalidDocumentException if the text is not valid YAML, is not a mapping,
	 * or exceeds a limit
	 */
	public static Section read(String name, String text, DocumentLimits limits, FaultList faults)
			throws InvalidDocumentException {
		FaultList fatal = FaultList.create();
		Node root = null;
		if (text.length() > limits.maximumCharacters()) {
			fatal.add("", 0, text.length() + " characters",
					"write at most %d characters".formatted(limits.maximumCharacters()));
		}
		else {
			root = compose(text, limits, fatal);
		}
		fatal.throwIfAny(name);
		if (!(root instanceof MappingNode mapping)) {
			fatal.add("", 1, (root != null) ? "a text that is not a section" : "nothing",
					"write keys with values, such as 'name: value'");
			fatal.throwIfAny(name);
			throw new IllegalStateException("unreachable: the fault must have been thrown");
		}
		return Section.of(mapping, "", faults);
	}

	private static @Nullable Node compose(String text, DocumentLimits limits, FaultList fatal) {
		try {
			checkEvents(text, limits, fatal);
			return fatal.isEmpty() ? yaml(limits).compose(new StringReader(text)) : null;
		}
		catch (MarkedYAMLException ex) {
			int line = (ex.getProblemMark() != null) ? ex.getProblemMark().getLine() + 1 : 0;
			fatal.add("", line, "text that is not valid YAML (" + ex.getProblem() + ")",
					"correct the indentation, quotes or brackets at this line");
		}
		catch (YAMLException ex) {
			fatal.add("", 0, "text that is not valid YAML (" + ex.getMessage() + ")", "write plain YAML");
		}
		return null;
	}

	private static Yaml yaml(DocumentLimits limits) {
		LoaderOptions options = new LoaderOptions();
		options.setCodePointLimit(limits.maximumCharacters());
		options.setNestingDepthLimit(limits.maximumDepth());
		DumperOptions unused = new DumperOptions();
		return new Yaml(new SafeConstructor(options), new Representer(unused), unused, options);
	}

	private static void checkEvents(String text, DocumentLimits limits, FaultList fatal) {
		int nodes = 0;
		int depth = 0;
		int documents = 0;
		for (Event event : yaml(limits).parse(new StringReader(text))) {
			int line = event.getStartMark().getLine() + 1;
			nodes += (event instanceof NodeEvent) ? 1 : 0;
			documents += (event instanceof DocumentStartEvent) ? 1 : 0;
			depth += depthChange(event);
			checkKind(event, line, fatal);
			if (nodes > limits.maximumNodes()) {
				fatal.add("", line, "more than %d values".formatted(limits.maximumNodes()), "write fewer values");
			}
			if (depth > limits.maximumDepth()) {
				fatal.add("", line, "more than %d levels".formatted(limits.maximumDepth()), "nest less deeply");
			}
			if (documents > 1) {
				fatal.add("", line, "a second document", "write one document, without a line '---' in it");
			}
			if (!fatal.isEmpty()) {
				return;
			}
		}
	}

	private static int depthChange(Event event) {
		if (event instanceof CollectionStartEvent) {
			return 1;
		}
		return (event instanceof CollectionEndEvent) ? -1 : 0;
	}

	private static void checkKind(Event event, int line, FaultList fatal) {
		if (event instanceof AliasEvent || (event instanceof NodeEvent node && node.getAnchor() != null)) {
			fatal.add("", line, "an anchor or alias", "write the value out, or quote a text that begins with & or *");
		}
		boolean tagged = (event instanceof ScalarEvent scalar && scalar.getTag() != null)
				|| (event instanceof CollectionStartEvent collection && collection.getTag() != null);
		if (tagged) {
			fatal.add("", line, "a tag", "write the value without a tag, or quote a text that begins with !");
		}
	}

}
