// Package yuccametric provides the counters, gauges and histograms of a process,
// published with expvar.
//
// # Usage
//
//	metrics := yuccametric.New("entry-1")
//	metrics.Add("tasks_started", 1)
//	metrics.Publish() // in /debug/vars, under the key entry-1
package yuccametric

import (
	"expvar"
	"sync"
)

// Set holds the metrics of one process. Its methods may be called concurrently.
type Set struct {
	name   string
	values *expvar.Map
}

// New returns an empty set. Publish makes it visible under the name.
func New(name string) *Set {
	return &Set{name: name, values: new(expvar.Map).Init()}
}

// Add adds delta to a counter, and creates the counter if necessary.
func (s *Set) Add(counter string, delta int64) { s.values.Add(counter, delta) }

// Counter returns the counter of that name, for callers that add to it often, and
// creates it if necessary.
func (s *Set) Counter(name string) *expvar.Int {
	s.values.Add(name, 0)
	v, ok := s.values.Get(name).(*expvar.Int)
	if !ok {
		panic("metric " + name + " is not a counter") // Set creates only integers
	}
	return v
}

// Gauge sets a gauge, and creates it if necessary.
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

// Value returns the value of a counter or gauge, or zero if it does not exist.
func (s *Set) Value(name string) int64 {
	if v, ok := s.values.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// published maps names to the latest set published under each. It allows a name to
// be published again, on which expvar.Publish panics.
var published sync.Map

// Publish makes the set visible in /debug/vars. It replaces an earlier set of the
// same name.
func (s *Set) Publish() {
	_, replaced := published.Swap(s.name, s)
	if replaced {
		return
	}
	expvar.Publish(s.name, expvar.Func(s.snapshot))
}

// snapshot returns the values of the latest set published under the name.
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
