package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// link stands between a side and its worker, in both directions. It can be cut, silently, and it can
// leave an order of the side unanswered that the worker carries out later.
type link struct {
	record           *record
	name             string
	worker, side     string // where the worker and the side listen
	toWorker, toSide *http.Server
	direct           *http.Client

	mu  sync.Mutex
	cut bool
	// late decides for each order whether it is left unanswered, and after how long it is carried out.
	late func(path string, body []byte) (time.Duration, bool)
}

// newLink listens for the side at appAddress and for the worker at beatAddress.
func newLink(r *record, name, appAddress, workerAddress, beatAddress, sideAddress string) (*link, error) {
	l := &link{record: r, name: name, worker: workerAddress, side: sideAddress, direct: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
	forWorker, err := net.Listen("tcp", appAddress)
	if err != nil {
		return nil, err
	}
	forSide, err := net.Listen("tcp", beatAddress)
	if err != nil {
		return nil, err
	}
	l.toWorker = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.pass(w, r, l.worker, true) })}
	l.toSide = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.pass(w, r, l.side, false) })}
	go func() { _ = l.toWorker.Serve(forWorker) }()
	go func() { _ = l.toSide.Serve(forSide) }()
	return l, nil
}

func (l *link) close() {
	_ = l.toWorker.Close()
	_ = l.toSide.Close()
}

func (l *link) setCut(cut bool) {
	l.record.write("link %s cut: %v", l.name, cut)
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) setLate(late func(path string, body []byte) (time.Duration, bool)) {
	l.mu.Lock()
	l.late = late
	l.mu.Unlock()
}

// silence keeps a call without an answer until the caller gives it up.
func silence(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (l *link) pass(w http.ResponseWriter, r *http.Request, target string, order bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil || l.isCut() {
		silence(r)
	}
	l.mu.Lock()
	late := l.late
	l.mu.Unlock()
	header := r.Header.Clone()
	if order && late != nil {
		if delay, ok := late(r.URL.Path, body); ok {
			l.record.write("order %s to worker of %s left unanswered, carried out after %d ms: %.120s", r.URL.Path, l.name, delay.Milliseconds(), body)
			time.AfterFunc(delay, func() {
				status, answer := l.send(context.Background(), r.Method, r.URL.Path, header, body, target)
				l.record.write("late order carried out at worker of %s: %d %s", l.name, status, strings.TrimSpace(string(answer)))
			})
			silence(r)
		}
	}
	status, answer := l.send(r.Context(), r.Method, r.URL.Path, header, body, target)
	switch {
	case l.isCut():
		silence(r)
	case status == 0:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// send returns the status and the body, zero without an answer.
func (l *link) send(ctx context.Context, method, path string, header http.Header, body []byte, target string) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header = header
	response, err := l.direct.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
