package history

import (
	"math"
	"reflect"
	"time"

	"github.com/anishathalye/porcupine"
)

// searchTimeout bounds the search for a linearization of one register.
const searchTimeout = 20 * time.Second

// commandInput is a change by an operator: compare-and-set with a command identifier.
type commandInput struct {
	command   string
	register  string // Zone, or empty for the contracts of the deployment.
	workspace string
	expected  uint64 // 0 for any.
	out       bool
}

// commandOutput is the answer to a change. If unknown is set, the change may have been made at any time, or never.
type commandOutput struct {
	unknown  bool
	conflict bool
	revision uint64 // Revision of the change, or with conflict the current revision; 0 if the answer does not name it.
}

// commandState is the state of one register. A change makes a copy.
type commandState struct {
	revision   uint64
	out        bool
	workspaces map[string]uint64
	done       map[string]commandOutput // First result of each command.
}

func (s commandState) clone() commandState {
	c := s
	c.workspaces, c.done = map[string]uint64{}, map[string]commandOutput{}
	for k, v := range s.workspaces {
		c.workspaces[k] = v
	}
	for k, v := range s.done {
		c.done[k] = v
	}
	return c
}

// currentRevision returns the revision that an expected revision is compared with.
func (s commandState) currentRevision(in commandInput) uint64 {
	if in.register != "" {
		return s.revision
	}
	return s.workspaces[in.workspace]
}

// accept returns the state after an accepted change.
func (s commandState) accept(in commandInput) commandState {
	c := s.clone()
	// A zone that is set to the state that it has already may keep its revision; see step.
	c.revision++
	c.out = in.out
	c.workspaces[in.workspace] = c.revision
	c.done[in.command] = commandOutput{revision: c.revision}
	return c
}

func (s commandState) unchanged(in commandInput) commandState {
	c := s.clone()
	c.done[in.command] = commandOutput{revision: s.revision}
	return c
}

func (s commandState) refuse(in commandInput) commandState {
	c := s.clone()
	c.done[in.command] = commandOutput{conflict: true}
	return c
}

// step returns the states in which a change can leave a register, given its answer.
func (s commandState) step(in commandInput, out commandOutput) []any {
	if first, repeated := s.done[in.command]; repeated {
		if out.unknown || (first.conflict == out.conflict && (out.conflict || first.revision == out.revision)) {
			return []any{s}
		}
		return nil
	}
	currentRevision := s.currentRevision(in)
	var next []any
	if out.unknown {
		next = append(next, s)
	}
	if in.expected == 0 || in.expected == currentRevision {
		if out.unknown || (!out.conflict && out.revision == s.revision+1) {
			next = append(next, s.accept(in))
		}
		noChange := in.register != "" && in.out == s.out
		if noChange && (out.unknown || (!out.conflict && out.revision == s.revision)) {
			next = append(next, s.unchanged(in))
		}
	}
	// An expected revision of 0 can also mean that no revision may exist yet.
	conflicts := (in.expected != 0 && in.expected != currentRevision) || (in.expected == 0 && currentRevision != 0)
	revisionAllowed := out.revision == 0 || out.revision == currentRevision || out.revision == s.revision
	if conflicts && (out.unknown || (out.conflict && revisionAllowed)) {
		next = append(next, s.refuse(in))
	}
	return next
}

func commandModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{commandState{}.clone()} },
		Step: func(state, input, output any) []any {
			return state.(commandState).step(input.(commandInput), output.(commandOutput))
		},
		Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
	}
	return model.ToModel()
}

// CheckOperations checks that the changes by operators are linearizable. Each register (the contracts of the
// deployment, and the service state of each zone) has one revision, which grows by one with each accepted change. Of
// several changes that expect the same revision one is accepted. A resent command returns its first result.
func CheckOperations(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleOperations}
	registers := commandOperations(events)
	for _, name := range sortedKeys(registers) {
		result := porcupine.CheckOperationsTimeout(commandModel(), registers[name], searchTimeout)
		subject := "the contracts"
		if name != "" {
			subject = "zone " + name
		}
		switch result {
		case porcupine.Illegal:
			f.add(endTime(events), "the %d changes of %s are not linearizable", len(registers[name]), subject)
		case porcupine.Unknown:
			f.add(endTime(events), "the %d changes of %s were not decided within %v", len(registers[name]), subject, searchTimeout)
		}
	}
	return f.list
}

// commandOperations returns the operations on each register: pairs of CommandSent and CommandAnswered with the same Call.
// Changes that certainly had no effect are left out.
func commandOperations(events []Event) map[string][]porcupine.Operation {
	done := map[string]Event{}
	clients := map[string]int{}
	for _, e := range events {
		if e.Kind == CommandAnswered {
			done[e.Call] = e
		}
	}
	registers := map[string][]porcupine.Operation{}
	for _, e := range events {
		if e.Kind != CommandSent {
			continue
		}
		clients[e.Call] = len(clients)
		answer, answered := done[e.Call]
		if answered && hadNoEffect(answer) {
			continue
		}
		op := porcupine.Operation{ClientId: clients[e.Call], Call: e.Time, Return: math.MaxInt64,
			Input:  commandInput{e.CommandID, e.Zone, e.Workspace, e.ExpectedRevision, e.Out},
			Output: commandOutput{unknown: true}}
		if answered && (answer.Code == "" || answer.Code == "conflict") {
			op.Return = answer.Time
			op.Output = commandOutput{conflict: answer.Code == "conflict", revision: answer.Revision}
		}
		registers[e.Zone] = append(registers[e.Zone], op)
	}
	for name, ops := range registers {
		registers[name] = mergeResends(ops)
	}
	return registers
}

// mergeResends merges the sends of one command that got no answer with its first answered send, or with each other. A
// command takes effect at most once, between its first send and its first answer, so the check stays as strict. Without
// the merge the search for a linearization would grow with every send that got no answer.
func mergeResends(ops []porcupine.Operation) []porcupine.Operation {
	first := map[string]int{} // Position in merged, by command.
	var merged []porcupine.Operation
	for _, op := range ops {
		command := op.Input.(commandInput).command
		at, seen := first[command]
		unknown := op.Output.(commandOutput).unknown
		switch {
		case !seen:
			first[command] = len(merged)
			merged = append(merged, op)
		case unknown:
		case merged[at].Output.(commandOutput).unknown:
			merged[at].Return, merged[at].Output = op.Return, op.Output
		default:
			merged = append(merged, op)
		}
	}
	return merged
}

func hadNoEffect(e Event) bool {
	switch e.Code {
	case "invalid", "unauthorized", "not_found", "too_large":
		return true
	}
	return e.Code != "" && e.Code != "conflict" && e.NotRun == "true"
}
