package yuccaentry

// WireRequest returns the message with a caller's request.
var WireRequest = wireRequest
