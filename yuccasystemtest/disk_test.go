package yuccasystemtest

import (
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var errDisk = errors.New("input/output error")

// memoryDisk is an in-memory data folder. Writes take the delay and survive a
// crash of the control.
type memoryDisk struct {
	mu     sync.Mutex
	id     uint64
	frames []*yuccawire.DiskFrame
	delay  time.Duration
	// failsWrites is an injected fault: all writes return errDisk.
	failsWrites bool
	// dropsWrites is an injected fault: the disk acknowledges writes without
	// storing them.
	dropsWrites bool
}

func (m *memoryDisk) ID() uint64 { return m.id }

func (m *memoryDisk) Stored() yuccareplica.Stored {
	m.mu.Lock()
	defer m.mu.Unlock()
	var stored yuccareplica.Stored
	for _, frame := range m.frames {
		yuccadisk.Replay(&stored, proto.CloneOf(frame))
	}
	return stored
}

func (m *memoryDisk) Write(frame *yuccawire.DiskFrame) error { return m.store(frame, false) }

func (m *memoryDisk) Replace(frame *yuccawire.DiskFrame) error { return m.store(frame, true) }

func (m *memoryDisk) store(frame *yuccawire.DiskFrame, replace bool) error {
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	time.Sleep(delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failsWrites {
		return errDisk
	}
	if m.dropsWrites && len(m.frames) > 0 {
		return nil
	}
	if replace {
		m.frames = nil
	}
	m.frames = append(m.frames, proto.CloneOf(frame))
	return nil
}

func (m *memoryDisk) update(change func(m *memoryDisk)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}
