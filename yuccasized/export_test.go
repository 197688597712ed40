package yuccasized

// DecodeJob decodes and validates a submission.
var DecodeJob = decodeJob
