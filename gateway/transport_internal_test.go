package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// longestPause is how long a sound endpoint may be silent.
const longestPause = 1400 * time.Millisecond

// wholeSeconds rounds up, as the socket options for keep-alive probes do.
func wholeSeconds(d time.Duration) time.Duration { return (d + time.Second - 1).Truncate(time.Second) }

// shortestFatalSilence returns the shortest silence of the other end that ends an idle connection, by the rules of Linux: a probe is
// due after the idle time and then after each interval, and the connection ends when one is due later than the maximum
// unacknowledged time after the last acknowledgement, if an earlier probe was not answered. The silence begins just before the
// first probe.
func shortestFatalSilence(maxUnacked time.Duration) time.Duration {
	idle, interval := wholeSeconds(keepAliveIdle), wholeSeconds(keepAliveInterval)
	due := idle + interval
	for due < maxUnacked {
		due += interval
	}
	return due - idle
}

func TestIdleConnectionsOutlastASilentEndpoint(t *testing.T) {
	Convey("keep-alive probes do not end a connection to an endpoint that is silent for a moment, but to one that is gone", t, func() {
		So(shortestFatalSilence(MaxEndpointUnackedTime), ShouldBeGreaterThan, longestPause)
		So(shortestFatalSilence(MaxEndpointUnackedTime), ShouldBeLessThanOrEqualTo, 2*time.Second)
	})
}
