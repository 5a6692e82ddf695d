package deployment

import (
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/contract"
)

// Reply is the response to the request that was passed to Leader.Request with the same ID.
type Reply struct {
	ID       uint64
	Response Response
}

// Leader serves requests on the host that leads the deployment log. Contract changes are validated and proposed one
// at a time, so that two contracts that each fit alone, but not both together, cannot both be accepted.
type Leader struct {
	state           *StateMachine
	zones           []string // All zones of the deployment.
	topologies      func() []contract.Topology
	waitingChanges  []pendingRequest          // Contract changes that are not yet validated.
	changeInFlight  bool                      // A contract change is proposed and not yet applied.
	proposed        []pendingRequest          // Proposed requests whose log index is not known yet, in log order.
	replies         []Reply                   // Replies since the last Take.
	proposals       [][]byte                  // Proposals since the last Take.
	proposedByIndex map[uint64]pendingRequest // Proposed requests by log index.
}

type pendingRequest struct {
	id      uint64
	request Request
}

// NewLeader returns a Leader that proposes changes of m. topologies returns the topologies that the zones reported.
func NewLeader(m *StateMachine, zones []string, topologies func() []contract.Topology) *Leader {
	return &Leader{state: m, zones: zones, topologies: topologies, proposedByIndex: map[uint64]pendingRequest{}}
}

// Reset drops all requests without a reply; their senders retry them at the next leader.
func (l *Leader) Reset() {
	l.waitingChanges, l.proposed, l.replies, l.proposals = nil, nil, nil, nil
	l.changeInFlight = false
	clear(l.proposedByIndex)
}

// Request serves a request. A later Take returns the reply.
func (l *Leader) Request(id uint64, r Request) {
	p := pendingRequest{id: id, request: r}
	switch {
	case r.List != nil:
		l.reply(id, l.list(r.List))
	case r.Apply != nil || r.Delete != nil:
		l.waitingChanges = append(l.waitingChanges, p)
		l.proposeNextChange()
	case r.Intent != nil:
		l.propose(p, Command{Intent: r.Intent})
	case r.RemoveIntent != nil:
		l.propose(p, Command{RemoveIntent: r.RemoveIntent})
	case r.Claim != nil:
		l.propose(p, Command{Claim: r.Claim})
	case r.CloseClaim != nil:
		l.propose(p, Command{CloseClaim: r.CloseClaim})
	default:
		l.reply(id, Response{Error: invalid("the request is empty")})
	}
}

// Proposed passes the log index of the oldest proposal returned by Take whose index is not known yet.
func (l *Leader) Proposed(index uint64) {
	if len(l.proposed) == 0 {
		return
	}
	l.proposedByIndex[index] = l.proposed[0]
	l.proposed = l.proposed[1:]
}

// Applied answers the request for which an entry was proposed with the result of the applied entry.
func (l *Leader) Applied(index uint64, r Response) {
	p, ok := l.proposedByIndex[index]
	if !ok {
		return
	}
	delete(l.proposedByIndex, index)
	l.reply(p.id, r)
	if p.request.Apply != nil || p.request.Delete != nil {
		l.changeInFlight = false
		l.proposeNextChange()
	}
}

// Take returns the proposals to append to the log, in order, and the replies, both since the previous Take.
func (l *Leader) Take() ([][]byte, []Reply) {
	proposals, replies := l.proposals, l.replies
	l.proposals, l.replies = nil, nil
	return proposals, replies
}

// proposeNextChange validates waiting contract changes in order until one is proposed, and answers those that need no
// proposal.
func (l *Leader) proposeNextChange() {
	for !l.changeInFlight && len(l.waitingChanges) > 0 {
		p := l.waitingChanges[0]
		l.waitingChanges = l.waitingChanges[1:]
		if done := l.checkChange(p.request); done != nil {
			l.reply(p.id, *done)
			continue
		}
		l.changeInFlight = true
		l.propose(p, Command{Apply: p.request.Apply, Delete: p.request.Delete})
	}
}

// checkChange validates a contract change. It returns the response if the change is not to be proposed, because it was
// applied before, is not valid or is a dry run, and nil otherwise.
func (l *Leader) checkChange(r Request) *Response {
	command, workspace, expected := changeIdentity(r)
	if done := l.state.storedResult(command); done != nil && !r.DryRun {
		return done
	}
	if e := l.state.revisionConflict(workspace, expected); e != nil {
		return &Response{Error: e}
	}
	if r.Delete != nil {
		return l.checkDelete(r)
	}
	return l.checkApply(r)
}

func (l *Leader) checkDelete(r Request) *Response {
	old := l.state.contracts[r.Delete.Workspace]
	if old == nil || !r.DryRun {
		return nil
	}
	return &Response{Contract: &api.ContractResult{Workspace: r.Delete.Workspace, Effects: contract.Diff(old.parsed, nil)}}
}

func (l *Leader) checkApply(r Request) *Response {
	parsed, findings := contract.Parse(r.Apply.File, r.Apply.YAML)
	if len(findings) > 0 {
		return &Response{Error: FindingsError(findings)}
	}
	if parsed.Workspace != r.Apply.Workspace {
		return &Response{Error: invalid("the contract names workspace " + parsed.Workspace + ", not " + r.Apply.Workspace)}
	}
	if f := l.tokenFindings(r.Apply.File, parsed); len(f) > 0 {
		return &Response{Error: FindingsError(f)}
	}
	if zone := l.unreportedZone(parsed); zone != "" {
		return &Response{Error: workersUnknown(zone)}
	}
	topologies := l.topologies()
	if f := contract.CheckFit(topologies, l.contractsWith(parsed)); len(f) > 0 {
		if zone := l.incompleteZone(topologies); zone != "" {
			return &Response{Error: workersUnknown(zone)}
		}
		return &Response{Error: FindingsError(f)}
	}
	if !r.DryRun {
		return nil
	}
	var before *contract.Contract
	if old := l.state.contracts[r.Apply.Workspace]; old != nil {
		before = old.parsed
	}
	return &Response{Contract: &api.ContractResult{Workspace: r.Apply.Workspace, Effects: contract.Diff(before, parsed)}}
}

func workersUnknown(zone string) *api.Error {
	return &api.Error{Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable, NotRun: api.NotRunTrue,
		RetryAfterSeconds: 1, Message: "the workers of zone " + zone + " are not known yet"}
}

// incompleteZone returns a zone whose new leader does not know all workers yet, or "". That is certain if the contracts in
// force do not fit the workers that it knows. A contract that does not fit them either is not to be refused for good.
func (l *Leader) incompleteZone(topologies []contract.Topology) string {
	i := slices.IndexFunc(topologies, func(t contract.Topology) bool { return t.Partial })
	if i < 0 || len(contract.CheckFit(topologies, l.contractsInForce())) == 0 {
		return ""
	}
	return topologies[i].Zone
}

func (l *Leader) contractsInForce() []*contract.Contract {
	var out []*contract.Contract
	for _, name := range l.state.workspaceNames() {
		out = append(out, l.state.contracts[name].parsed)
	}
	return out
}

// unreportedZone returns a zone of the deployment for which the contract has a guarantee but which has not reported its
// workers yet, or "". This is the case for a short time after this host became the leader.
func (l *Leader) unreportedZone(c *contract.Contract) string {
	topologies := l.topologies()
	for _, g := range c.Guarantees {
		known := slices.ContainsFunc(topologies, func(t contract.Topology) bool { return t.Zone == g.Zone })
		if !known && slices.Contains(l.zones, g.Zone) {
			return g.Zone
		}
	}
	return ""
}

// tokenFindings reports caller tokens that already belong to another workspace: a token must not give access to two
// workspaces.
func (l *Leader) tokenFindings(file string, c *contract.Contract) []contract.Finding {
	var out []contract.Finding
	for _, digest := range c.TokensSHA256 {
		owner := l.state.WorkspaceOf(digest)
		if owner == "" || owner == c.Workspace {
			continue
		}
		out = append(out, contract.Finding{File: file, Field: "tokens_sha256",
			Message: "a token belongs to another workspace"})
	}
	return out
}

// contractsWith returns all contracts, with c added or in place of its workspace's present one.
func (l *Leader) contractsWith(c *contract.Contract) []*contract.Contract {
	var out []*contract.Contract
	for _, name := range l.state.workspaceNames() {
		if name != c.Workspace {
			out = append(out, l.state.contracts[name].parsed)
		}
	}
	return append(out, c)
}

func (l *Leader) list(r *ListRequest) Response {
	list := l.state.Contracts(r.Workspace)
	if r.Workspace != "" && len(list.Contracts) == 0 {
		return Response{Error: &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound,
			Message: "workspace " + r.Workspace + " has no contract"}}
	}
	return Response{List: list}
}

func (l *Leader) propose(p pendingRequest, c Command) {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(eris.Wrap(err, "encode a deployment command"))
	}
	l.proposed = append(l.proposed, p)
	l.proposals = append(l.proposals, data)
}

func (l *Leader) reply(id uint64, r Response) {
	l.replies = append(l.replies, Reply{ID: id, Response: r})
}

func changeIdentity(r Request) (command, workspace string, expected *uint64) {
	if r.Delete != nil {
		return r.Delete.CommandID, r.Delete.Workspace, r.Delete.ExpectedRevision
	}
	return r.Apply.CommandID, r.Apply.Workspace, r.Apply.ExpectedRevision
}
