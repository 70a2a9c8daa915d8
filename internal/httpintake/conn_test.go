package httpintake

import (
	"net"
	"syscall"
	"testing"
)

// TestBuffersOfConnections guards against a client whose unread answers take up megabytes in the kernel.
func TestBuffersOfConnections(t *testing.T) {
	const receive, sendBytes = 16 << 10, 32 << 10
	l, err := Listen("127.0.0.1:0", Buffers{Receive: receive, Send: sendBytes})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for option, size := range map[int]int{syscall.SO_RCVBUF: receive, syscall.SO_SNDBUF: sendBytes} {
		got := 0
		if err := raw.Control(func(fd uintptr) { got, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option) }); err != nil {
			t.Fatal(err)
		}
		if got < size || got > 2*size { // the kernel doubles it for its own overhead
			t.Errorf("option %d: %d bytes, want %d or twice that", option, got, size)
		}
	}
}
