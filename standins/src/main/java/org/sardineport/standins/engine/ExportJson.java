package org.sardineport.standins.engine;

/**
 * Exported state of a suspended stream, which stands for its KV cache. Component names
 * are part of the exported document.
 *
 * @param id id of the stream
 * @param tag tag that each generated token repeats
 * @param events whether the response is sent as server-sent events
 * @param promptTokens length of the prompt, in tokens
 * @param cachedTokens prompt tokens that came from the prefix cache
 * @param answerTokens length of the whole response, in tokens
 * @param produced tokens generated so far
 * @param output response body generated so far
 */
record ExportJson(String id, String tag, boolean events, int promptTokens, int cachedTokens, int answerTokens,
		int produced, String output) {

}
