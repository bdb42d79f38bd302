package soak

import (
	"net"
	"os"
	"testing"
)

// TestFindProcess guards the attribution of requests to instances, without which no request of one that was cut off would be known.
func TestFindProcess(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if pid, err := findProcess(accepted.(*net.TCPConn), []int{1, os.Getpid()}); err != nil || pid != os.Getpid() {
		t.Errorf("found process %d, error %v, want %d", pid, err, os.Getpid())
	}
	resetConn(c.(*net.TCPConn))
	if pid, err := findProcess(accepted.(*net.TCPConn), []int{os.Getpid()}); err != nil || pid != 0 {
		t.Errorf("found process %d, error %v for a closed connection, want none", pid, err)
	}
}
