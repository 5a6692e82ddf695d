package node

import (
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
)

// reportTimeout bounds how long an endpoint waits for the answer to a report. After an error it sends the report again.
const reportTimeout = 2 * time.Second

// endpointReport passes a report of an endpoint to the leader of this zone's cell.
func (n *Node) endpointReport(now time.Duration, in EndpointReport) {
	report := in.Report
	if a := report.Announcement; a != nil && a.Zone != n.settings.Self.Zone {
		n.emit(RespondEndpoint{ID: in.ID, Error: &api.Error{Status: http.StatusUnprocessableEntity, Code: api.CodeInvalid,
			Message: "the endpoint is of zone " + a.Zone + ", this host of zone " + n.settings.Self.Zone}})
		return
	}
	n.requestCell(now, n.settings.Self.Zone, cell.Request{Report: &report}, 0, reportTimeout,
		func(_ time.Duration, r *cell.Response) {
			if r == nil {
				n.emit(RespondEndpoint{ID: in.ID, Error: unavailable(n.settings.Self.Zone)})
				return
			}
			n.emit(RespondEndpoint{ID: in.ID, HeartbeatReply: r.HeartbeatReply, Ack: r.Ack, Error: r.Error})
		})
}

// handOver submits a job to the zone to which a cell led by this host hands it over, and tells the cell the result.
func (n *Node) handOver(now time.Duration, g *group, h cell.HandOver) {
	r := cell.Request{Submit: &cell.SubmitRequest{Job: h.Job, HandedOver: true}}
	n.requestCell(now, h.Zone, r, 0, requestTimeout, func(now time.Duration, r *cell.Response) {
		if g.epoch == 0 || !g.replica.LeadsUnderLease(now) {
			return
		}
		accepted := r != nil && r.Error == nil
		refused := r != nil && r.Refused
		g.cell.HandOverReplied(now, h.Job.ID, h.Zone, accepted, refused)
	})
}
