package intake

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are kept for files and pipes, at most half of all.
	reservedDescriptors = 200
	// callerShare, peerShare and operatorShare are the inverse shares of the other descriptors that listeners may take. Two fifths remain for
	// connections to endpoints, one for each request of a caller, and to the store and other instances.
	callerShare, peerShare, operatorShare = 2.5, 20.0 / 3, 20
	// connectionBytes is the memory of a connection: stacks of goroutines, buffers, and state. memoryShare is the inverse share of the memory
	// that the connections of callers may take.
	connectionBytes, memoryShare = 32 << 10, 6
)

// Bounds are the connections that an instance accepts.
type Bounds struct{ Callers, Peers, Operators int }

// NewBounds returns the bounds for a limit of descriptors, that of the process if it is lower or zero is given, and for a size of memory in
// bytes if that is not zero.
func NewBounds(descriptors int, memoryBytes int64) (Bounds, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return Bounds{}, fmt.Errorf("intake: limit of descriptors: %w", err)
	}
	if descriptors == 0 || uint64(descriptors) > limit.Cur {
		descriptors = int(min(limit.Cur, 1<<30))
	}
	free := float64(max(descriptors-reservedDescriptors, descriptors/2))
	b := Bounds{Callers: max(1, int(free/callerShare)), Peers: max(1, int(free/peerShare)), Operators: max(1, int(free/operatorShare))}
	if memoryBytes > 0 {
		b.Callers = min(b.Callers, max(1, int(memoryBytes/memoryShare/connectionBytes)))
	}
	return b, nil
}
