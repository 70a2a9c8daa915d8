package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is how much a pipe reads at a time.
	chunkBytes = 16 << 10
	// queueChunks bounds what is on its way in one direction of a connection.
	queueChunks = 64
	dialTimeout = 2 * time.Second
)

// chunk is a piece of data on its way. Without data it is the end of the stream,
// or a reset.
type chunk struct {
	data    []byte
	reset   bool
	arrives time.Time
}

// pair is one relayed connection: the caller's end and the target's.
type pair struct {
	caller, target net.Conn
	// silent drops all data from then on, for good.
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
	// release returns the channel that is closed while the relay holds nothing back.
	release func() <-chan struct{}
}

func newPair(caller, target net.Conn) *pair {
	return &pair{caller: caller, target: target, closed: make(chan struct{})}
}

// abort breaks both ends with a reset.
func (p *pair) abort() {
	p.once.Do(func() {
		close(p.closed)
		reset(p.caller)
		if p.target != nil {
			reset(p.target)
		}
	})
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// run relays both directions until both have ended.
func (p *pair) run(up, down *lane) {
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(p.caller, p.target, up) })
	pumps.Go(func() { p.pump(p.target, p.caller, down) })
	pumps.Wait()
	if !p.silent.Load() {
		p.abort()
	}
}

// pump relays one direction.
func (p *pair) pump(from, to net.Conn, l *lane) {
	queue := make(chan chunk, queueChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.deliver(queue, to)
	}()
	p.read(from, l, queue)
	close(queue)
	<-done
}

// read queues what comes from one end. A silent pair drops it, without a sign to
// either end.
func (p *pair) read(from net.Conn, l *lane, queue chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 && !p.silent.Load() {
			queue <- chunk{data: buf[:n], arrives: l.schedule(n, time.Now())}
		}
		if err == nil {
			continue
		}
		if !p.silent.Load() {
			queue <- chunk{reset: err != io.EOF, arrives: l.schedule(0, time.Now())}
		}
		return
	}
}

// deliver writes the chunks when they arrive. It drains the queue to its end.
func (p *pair) deliver(queue <-chan chunk, to net.Conn) {
	for c := range queue {
		p.await(c.arrives)
		p.awaitRetransmission(&c)
		if p.silent.Load() {
			continue
		}
		if err := c.deliver(to); err != nil || c.reset {
			p.abort()
		}
	}
}

// deliver passes the chunk on to one end.
func (c chunk) deliver(to net.Conn) error {
	if c.data == nil {
		closeWrite(to)
		return nil
	}
	_, err := to.Write(c.data)
	return err
}

func (p *pair) await(at time.Time) {
	wait := time.Until(at)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.closed:
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
