package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/vishvananda/netlink/nl"
	"golang.org/x/sys/unix"
)

// linkState is what a link does with its connections.
type linkState int

const (
	// linkOpen passes on all bytes.
	linkOpen linkState = iota
	// linkHangs accepts connections and bytes but passes nothing on until the state changes.
	linkHangs
	// linkCut resets all connections, also new ones.
	linkCut
)

// link is the path from one instance to the store, or to the endpoints of one failure domain. It is safe for concurrent use.
type link struct {
	// instance is the name of the instance, target that of what it connects to.
	instance, target string

	mu      sync.Mutex
	state   linkState
	changed *sync.Cond
	conns   map[*net.TCPConn]bool
	// faults holds the times in which the link was not open, the last one without an end while it lasts.
	faults []interval
}

// interval is a period of time. A zero end means that it lasts.
type interval struct{ from, to time.Time }

// overlap reports whether any of the intervals has a moment in common with the period from one time to another.
func overlap(all []interval, from, to time.Time) bool {
	return slices.ContainsFunc(all, func(i interval) bool { return !i.from.After(to) && (i.to.IsZero() || !i.to.Before(from)) })
}

func newLink(instance, target string) *link {
	l := &link{instance: instance, target: target, conns: make(map[*net.TCPConn]bool)}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// setState changes the state of the link.
func (l *link) setState(s linkState) {
	if s == linkCut {
		defer l.reset()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == l.state {
		return
	}
	if l.state == linkOpen {
		l.faults = append(l.faults, interval{from: time.Now()})
	} else if s == linkOpen {
		l.faults[len(l.faults)-1].to = time.Now()
	}
	l.state = s
	l.changed.Broadcast()
}

// reset resets all present connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetConn(c)
	}
	clear(l.conns)
}

// faultIn reports whether the link was not open at some moment of a period.
func (l *link) faultIn(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return overlap(l.faults, from, to)
}

// add makes a connection part of the link. It returns false if the link is cut.
func (l *link) add(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != linkCut {
		l.conns[c] = true
	}
	return l.state != linkCut
}

func (l *link) remove(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// awaitOpen waits while the link hangs. It returns false if the link is cut.
func (l *link) awaitOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.state == linkHangs {
		l.changed.Wait()
	}
	return l.state == linkOpen
}

// resetConn closes a connection so that the peer gets a reset instead of an orderly end.
func resetConn(c *net.TCPConn) {
	// Errors mean that the connection has ended already.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// proxy passes connections on to a target over the links that they belong to.
type proxy struct {
	listener *net.TCPListener
	target   string
	// linkOf returns the link of a new connection, or nil if the process that opened it has closed it.
	linkOf func(c *net.TCPConn) *link
	// sources holds the link of each connection to the target by its local address.
	sources sync.Map

	mu    sync.Mutex
	ended bool
	conns map[*net.TCPConn]bool
}

// listenTimeout is how long a proxy tries to listen, every listenPause: a process that is being started holds a copy of the listener of
// an endpoint that has ended, until it runs its own program.
const listenTimeout, listenPause = 5 * time.Second, 20 * time.Millisecond

// startProxy listens at an address, of which the port may be 0.
func startProxy(address, target string, linkOf func(*net.TCPConn) *link) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	for end := time.Now().Add(listenTimeout); errors.Is(err, unix.EADDRINUSE) && time.Now().Before(end); l, err = net.Listen("tcp4", address) {
		time.Sleep(listenPause)
	}
	if err != nil {
		return nil, fmt.Errorf("soak: proxy to %s: %w", target, err)
	}
	p := &proxy{listener: l.(*net.TCPListener), target: target, linkOf: linkOf, conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close stops listening and resets all connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.ended = true
	_ = p.listener.Close()
	for c := range p.conns {
		resetConn(c)
	}
	p.mu.Unlock()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.ended {
			resetConn(c)
		} else {
			p.conns[c] = true
			go p.serve(c)
		}
		p.mu.Unlock()
	}
}

// serve passes on the bytes of one connection until both directions have ended.
func (p *proxy) serve(c *net.TCPConn) {
	defer func() {
		resetConn(c)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	l := p.linkOf(c)
	if l == nil || !l.add(c) {
		return
	}
	defer l.remove(c)
	if !l.awaitOpen() {
		return
	}
	conn, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	target := conn.(*net.TCPConn)
	defer resetConn(target)
	p.sources.Store(target.LocalAddr().String(), l)
	if !l.add(target) {
		return
	}
	defer l.remove(target)
	var both sync.WaitGroup
	both.Go(func() { copyBytes(target, c, l) })
	both.Go(func() { copyBytes(c, target, l) })
	both.Wait()
}

// copyBytes passes on the bytes of one direction. If that fails it resets both connections.
func copyBytes(to, from *net.TCPConn, l *link) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !l.awaitOpen() {
			break
		}
		if _, err := to.Write(buffer[:n]); n > 0 && err != nil {
			break
		}
		if errors.Is(err, io.EOF) {
			// An error means that the connection has ended.
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	resetConn(to)
	resetConn(from)
}

// inetDiagLength is the length of the reply to a request for a socket, struct inet_diag_msg in linux/inet_diag.h, which ends with the inode.
const inetDiagLength = 72

// findProcess returns which of the processes holds the other end of a loopback connection, or 0 if none does any more.
func findProcess(c *net.TCPConn, pids []int) (int, error) {
	inode, err := findInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == 0 || err != nil {
		return 0, err
	}
	name := fmt.Sprintf("socket:[%d]", inode)
	for _, pid := range pids {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		files, err := os.ReadDir(folder)
		if err != nil {
			continue // The process has ended.
		}
		for _, f := range files {
			// An error means that the file was closed meanwhile.
			if target, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && target == name {
				return pid, nil
			}
		}
	}
	return 0, nil
}

// findInode returns the inode of the TCP socket with the given addresses, or 0 if no process has it open. It asks for this socket alone
// (struct inet_diag_req_v2 in linux/inet_diag.h): a listing of all sockets takes milliseconds on a machine with thousands of them.
func findInode(local, remote *net.TCPAddr) (uint32, error) {
	fail := func(err error) (uint32, error) { return 0, fmt.Errorf("soak: find the socket of %v: %w", local, err) }
	request := struct {
		Family, Protocol, Ext, _    uint8
		States                      uint32
		SourcePort, DestinationPort [2]byte
		Source, Destination         [16]byte
		Interface                   uint32
		Cookie                      [2]uint32
	}{Family: unix.AF_INET, Protocol: unix.IPPROTO_TCP, States: ^uint32(0), Cookie: [2]uint32{nl.TCPDIAG_NOCOOKIE, nl.TCPDIAG_NOCOOKIE}}
	binary.BigEndian.PutUint16(request.SourcePort[:], uint16(local.Port))
	binary.BigEndian.PutUint16(request.DestinationPort[:], uint16(remote.Port))
	copy(request.Source[:], local.IP.To4())
	copy(request.Destination[:], remote.IP.To4())
	data, err := binary.Append(nil, binary.NativeEndian, request)
	if err != nil {
		return fail(err)
	}
	message := nl.NewNetlinkRequest(nl.SOCK_DIAG_BY_FAMILY, 0)
	message.AddRawData(data)
	replies, err := message.Execute(unix.NETLINK_INET_DIAG, nl.SOCK_DIAG_BY_FAMILY)
	if errors.Is(err, unix.ENOENT) {
		return 0, nil
	}
	if err != nil {
		return fail(err)
	}
	if len(replies) != 1 || len(replies[0]) < inetDiagLength {
		return fail(fmt.Errorf("%d replies", len(replies)))
	}
	return binary.NativeEndian.Uint32(replies[0][inetDiagLength-4:]), nil
}
