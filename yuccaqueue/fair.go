// Package yuccaqueue implements a weighted fair queue.
//
// [Fair] is a start-time fair queue: each flow is first in, first out, and over
// time the flows with queued items are served in proportion to their weights.
//
// # Usage
//
//	queue := yuccaqueue.New[string, *task]()
//	queue.Push("parishes", 2, first)
//	item, ok := queue.Pop(func(flow string) bool { return underQuota(flow) })
package yuccaqueue

import "container/list"

// itemCost is the virtual time that one item takes in a flow of weight one.
const itemCost = 1 << 20

// clampWeight returns the weight that is computed with. An item of a larger one would cost
// nothing, and its flow be served alone.
func clampWeight(weight int) int { return min(max(weight, 1), itemCost) }

// Fair is a start-time fair queue of items in flows. It is not safe for concurrent use.
type Fair[K comparable, T any] struct {
	flows map[K]*flow[K, T]
	// flowList holds the flows in the order of their first items.
	flowList    []*flow[K, T]
	virtualTime uint64
	length      int
}

type flow[K comparable, T any] struct {
	key      K
	weight   uint64
	startTag uint64
	items    *list.List
}

// New returns an empty queue.
func New[K comparable, T any]() *Fair[K, T] {
	return &Fair[K, T]{flows: make(map[K]*flow[K, T])}
}

// Len returns the number of queued items.
func (f *Fair[K, T]) Len() int { return f.length }

// FlowLen returns the number of queued items of the flow.
func (f *Fair[K, T]) FlowLen(key K) int {
	if fl := f.flows[key]; fl != nil {
		return fl.items.Len()
	}
	return 0
}

// Ahead estimates how many items are popped until the flow is empty, after more
// items are pushed to it with the given weight. It counts all items of the flow,
// and those of the other flows that are popped in the meantime.
func (f *Fair[K, T]) Ahead(key K, weight, more int) int {
	own := f.FlowLen(key) + more
	ahead := own
	for _, fl := range f.flowList {
		if fl.key != key {
			ahead += min(fl.items.Len(), own*int(fl.weight)/clampWeight(weight))
		}
	}
	return ahead
}

// Push appends an item to its flow and sets the weight of the flow.
func (f *Fair[K, T]) Push(key K, weight int, item T) {
	f.flow(key, weight).items.PushBack(item)
	f.length++
}

// PushFront returns an item to the head of its flow and sets the weight of the flow.
func (f *Fair[K, T]) PushFront(key K, weight int, item T) {
	f.flow(key, weight).items.PushFront(item)
	f.length++
}

func (f *Fair[K, T]) flow(key K, weight int) *flow[K, T] {
	fl := f.flows[key]
	if fl == nil {
		fl = &flow[K, T]{key: key, items: list.New()}
		f.flows[key] = fl
		f.flowList = append(f.flowList, fl)
	}
	if fl.items.Len() == 0 {
		fl.startTag = max(fl.startTag, f.virtualTime)
	}
	fl.weight = uint64(clampWeight(weight))
	return fl
}

// Pop removes the first item of the allowed flow with the lowest start tag. It
// returns false if no allowed flow has items.
func (f *Fair[K, T]) Pop(allowed func(key K) bool) (item T, ok bool) {
	var next *flow[K, T]
	for _, fl := range f.flowList {
		if fl.items.Len() == 0 || next != nil && fl.startTag >= next.startTag || !allowed(fl.key) {
			continue
		}
		next = fl
	}
	if next == nil {
		return item, false
	}
	f.virtualTime = max(f.virtualTime, next.startTag)
	next.startTag += itemCost / next.weight
	f.length--
	return next.items.Remove(next.items.Front()).(T), true
}

// RemoveAll removes the items of the flow that match.
func (f *Fair[K, T]) RemoveAll(key K, match func(item T) bool) {
	fl := f.flows[key]
	if fl == nil {
		return
	}
	for e := fl.items.Front(); e != nil; {
		next := e.Next()
		if match(e.Value.(T)) {
			fl.items.Remove(e)
			f.length--
		}
		e = next
	}
}
