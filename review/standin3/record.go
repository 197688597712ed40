package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder appends events to a file that several processes share. Each line begins with the time of day in
// milliseconds since 1970 and the name of the process.
type recorder struct {
	name string
	mu   sync.Mutex
	file *os.File
}

func newRecorder(path, name string) (*recorder, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the record: %w", err)
	}
	return &recorder{name: name, file: file}, nil
}

// note appends an event. A line is written with one call, so that lines of several processes don't mix.
func (r *recorder) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%d %s %s\n", time.Now().UnixMilli(), r.name, fmt.Sprintf(format, arguments...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "standin3: writing the record:", err)
	}
}
