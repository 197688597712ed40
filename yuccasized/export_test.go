package yuccasized

// DecodeJob decodes and validates a submission.
var DecodeJob = decodeJob

// DecodeReport decodes and validates the report of a worker.
var DecodeReport = decodeReport
