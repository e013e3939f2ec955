package org.sardineport.standins.engine;

/**
 * KV cache of a suspended stream, as far as the stand-in needs it.
 */
record ExportJson(String id, String tag, boolean events, int promptTokens, int cachedTokens, int answerTokens,
		int produced, String output) {

}
