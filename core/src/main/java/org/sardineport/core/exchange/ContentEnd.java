package org.sardineport.core.exchange;

/**
 * Where in its content a response ended.
 */
public enum ContentEnd {

	/** The response is no event stream, so that its content does not tell. */
	OPAQUE,

	/** After a whole event. */
	AFTER_EVENT,

	/** Before the first event that is new to the caller. */
	BEFORE_FIRST_EVENT,

	/** Inside an event, or before the event that marks the end of such a stream. */
	INSIDE_EVENT

}
