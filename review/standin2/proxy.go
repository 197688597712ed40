package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// cutProxy forwards connections to a worker. While it is cut, packets vanish: connections are not
// accepted, and open ones carry nothing.
type cutProxy struct {
	address, target string

	mu       sync.Mutex
	resume   chan struct{} // closed while it is not cut
	listener net.Listener
	hole     int
	fillers  []int
	open     map[*net.TCPConn]struct{}
}

func newCutProxy(address, target string) (*cutProxy, error) {
	p := &cutProxy{address: address, target: target, resume: make(chan struct{}), open: make(map[*net.TCPConn]struct{})}
	close(p.resume)
	return p, p.listen()
}

func (p *cutProxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return nil
}

func (p *cutProxy) forward(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	p.open[c.(*net.TCPConn)] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, c.(*net.TCPConn))
		p.mu.Unlock()
	}()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	go p.copy(t, c)
	p.copy(c, t)
}

func (p *cutProxy) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		resume := p.resume
		p.mu.Unlock()
		<-resume
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cut replaces the listener by a socket whose queue is full, so that the kernel drops the packets
// that open connections.
func (p *cutProxy) cut() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resume = make(chan struct{})
	p.listener.Close()
	address, err := net.ResolveTCPAddr("tcp", p.address)
	if err != nil {
		return err
	}
	to := &syscall.SockaddrInet4{Port: address.Port}
	copy(to.Addr[:], address.IP.To4())
	if p.hole, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(p.hole, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(p.hole, to); err != nil {
		return fmt.Errorf("binding the cut address: %w", err)
	}
	if err := syscall.Listen(p.hole, 0); err != nil {
		return err
	}
	for range 4 {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		_ = syscall.Connect(fd, to)
		p.fillers = append(p.fillers, fd)
	}
	return nil
}

// heal ends the cut.
func (p *cutProxy) heal() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	syscall.Close(p.hole)
	for _, fd := range p.fillers {
		syscall.Close(fd)
	}
	p.fillers = nil
	close(p.resume)
	return p.listen()
}

// refuse ends the open connections and has the kernel refuse new ones.
func (p *cutProxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	for c := range p.open {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// accept ends what refuse has begun.
func (p *cutProxy) accept() error { return p.listen() }
