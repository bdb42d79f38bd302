package gateway

import (
	"errors"
	"net"

	"github.com/apex/log"

	"pumiceshelf/placement"
)

// roundTripFailure returns the failure of an attempt that got no response.
func (j *job) roundTripFailure(ticket *placement.Ticket, err error, written bool) *failure {
	j.logger().WithFields(log.Fields{"endpoint": ticket.Endpoint.ID, "written": written, "content": j.content}).WithError(err).
		Info("gateway: no response from the endpoint")
	if isLinkTimeout(err) {
		return &failure{reason: reasonLinkBusy, result: placement.NotConnected}
	}
	var dial *dialError
	isDial := errors.As(err, &dial)
	if isDial && j.ctx.Err() == nil {
		j.gateway.reach.Failed(ticket.Endpoint, j.gateway.config.Clock.Now())
	}
	if isDial || !written {
		return &failure{reason: reasonUnreachable, result: placement.Unreachable}
	}
	result := placement.InvalidResponse
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && j.ctx.Err() == nil {
		// The peer no longer acknowledges data.
		result = placement.Unreachable
		j.gateway.reach.Failed(ticket.Endpoint, j.gateway.config.Clock.Now())
	}
	return &failure{reason: reasonResponseLost, result: result, mayHaveRun: true, sent: true}
}
