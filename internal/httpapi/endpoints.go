package httpapi

import (
	"context"
	"net/http"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
)

func (a *API) endpointRoutes(m *http.ServeMux) {
	a.report(m, endpoint.PathAnnounce, func(r *http.Request) (cell.Report, *api.Error) {
		v := new(endpoint.Announcement)
		e := readReport(r, v, checkAnnouncement)
		return cell.Report{Announcement: v}, e
	})
	a.report(m, endpoint.PathHeartbeat, func(r *http.Request) (cell.Report, *api.Error) {
		v := new(endpoint.Heartbeat)
		e := readReport(r, v, checkHeartbeat)
		return cell.Report{Heartbeat: v}, e
	})
	a.report(m, endpoint.PathLeaving, func(r *http.Request) (cell.Report, *api.Error) {
		v := new(endpoint.Leaving)
		e := readReport(r, v, checkLeaving)
		return cell.Report{Leaving: v}, e
	})
	a.report(m, endpoint.PathResult, func(r *http.Request) (cell.Report, *api.Error) {
		v := new(endpoint.Result)
		e := readReport(r, v, checkResult)
		return cell.Report{Result: v}, e
	})
}

// readReport decodes a report and checks its values.
func readReport[T any](r *http.Request, into *T, check func(*T) []api.Finding) *api.Error {
	if e := newParams(r).err(); e != nil {
		return e
	}
	if e := readJSON(r, into); e != nil {
		return e
	}
	findings := check(into)
	if len(findings) > 0 {
		return &api.Error{Code: api.CodeInvalid, Message: "the report is not valid", Findings: findings}
	}
	return nil
}

// report registers the route of one kind of report. Read decodes the report from a request.
func (a *API) report(m *http.ServeMux, path string, read func(*http.Request) (cell.Report, *api.Error)) {
	m.Handle(path, a.route(path, methods{http.MethodPost: func(r *http.Request) result {
		if !tokenAccepted(bearer(r), a.endpointDigests) {
			return unauthorized()
		}
		report, e := read(r)
		if e != nil {
			return failure(e)
		}
		return a.deliver(r.Context(), report)
	}}))
}

func (a *API) deliver(parent context.Context, report cell.Report) result {
	ctx, stop := context.WithTimeout(parent, answerMargin)
	defer stop()
	response, err := a.options.Backend.Report(ctx, report)
	switch {
	case err != nil:
		return backendFailure(parent, err, "")
	case response.Error != nil:
		return failure(response.Error)
	case response.HeartbeatReply != nil:
		return ok(response.HeartbeatReply)
	default:
		return ok(response.Ack)
	}
}
