// Package yuccametric counts the decisions of one process with expvar.
//
// # Usage
//
//	metrics := yuccametric.New("entry-1")
//	metrics.Add("tasks_started", 1)
//	metrics.Publish() // under its name in /debug/vars
package yuccametric

import (
	"expvar"
	"sync"
)

// Set holds the counters of one process. Its methods may be called
// concurrently.
type Set struct {
	name   string
	values *expvar.Map
}

// New returns a set without counters, which nothing publishes yet.
func New(name string) *Set {
	return &Set{name: name, values: new(expvar.Map).Init()}
}

// Add adds to a counter and makes it where it doesn't exist.
func (s *Set) Add(counter string, delta int64) { s.values.Add(counter, delta) }

// Gauge sets a value that may also fall.
func (s *Set) Gauge(name string, value int64) {
	if v, ok := s.values.Get(name).(*expvar.Int); ok {
		v.Set(value)
		return
	}
	s.values.Add(name, 0)
	if v, ok := s.values.Get(name).(*expvar.Int); ok {
		v.Set(value)
	}
}

// Value returns the counter or gauge, zero where it doesn't exist.
func (s *Set) Value(name string) int64 {
	if v, ok := s.values.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

var published sync.Map

// Publish makes the set visible in /debug/vars. Publishing a second set of the
// same name replaces the first.
func (s *Set) Publish() {
	_, replaced := published.Swap(s.name, s)
	if replaced {
		return
	}
	expvar.Publish(s.name, expvar.Func(s.snapshot))
}

// snapshot returns the values of the set that is now published under the name.
func (s *Set) snapshot() any {
	latest, _ := published.Load(s.name)
	values := make(map[string]int64)
	latest.(*Set).values.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			values[kv.Key] = v.Value()
		}
	})
	return values
}
