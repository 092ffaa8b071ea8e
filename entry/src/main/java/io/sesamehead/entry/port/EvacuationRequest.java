package io.sesamehead.entry.port;

/** The content of an object that requests an evacuation. The object's name, that of a failure domain, says it all. */
public record EvacuationRequest() {}
