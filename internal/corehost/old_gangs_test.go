package corehost

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// oldGangJob is a job of one gang of two members that may fail twice.
const oldGangJob = domain.JobID("7c0e7a21d94b36fa")

// oldHost is a host with the records of an earlier version, to which an empty append of a new leader has been delivered.
type oldHost struct {
	*Host
	folder string
	seeds  []string
	leader replica.Member
	last   replica.Entry // Of the log.
	term   uint64
	begins uint64 // Index of the snapshot that the records begin with.
}

func openOld(file, network string) *oldHost {
	folder, old := copyRecords(file)
	seeds := recordedHosts(network)
	o := &oldHost{folder: folder, seeds: seeds, Host: openAs(folder, seeds[1], seeds), term: old.HardState.Term + 1, begins: old.Snapshot.Index,
		leader: replica.Member{Host: seeds[2], Incarnation: replica.FoundingIncarnation, Disk: true}, last: replica.Entry{Index: old.Snapshot.Index, Term: old.Snapshot.Term}}
	if n := len(old.Entries); n > 0 {
		o.last = old.Entries[n-1]
	}
	o.apply()
	return o
}

// apply appends commands to the log and commits it.
func (o *oldHost) apply(commands ...domain.Command) {
	m := replica.Message{Kind: replica.MsgAppend, Term: o.term, Index: o.last.Index, LogTerm: o.last.Term, Commit: o.last.Index + uint64(len(commands))}
	for i := range commands {
		o.last = replica.Entry{Index: o.last.Index + 1, Term: o.term, Kind: replica.EntryCommand, Data: commands[i].Encode()}
		m.Entries = append(m.Entries, o.last)
	}
	Expect(deliverFrom(o.leader, o.Host, m)).To(Succeed())
}

// restart compacts the log and starts the host again.
func (o *oldHost) restart() {
	o.replica.Compact(o.replica.AppliedIndex(), o.stateMachine.Snapshot())
	o.disk.replace(o.replica.FullRecord())
	writeAndClose(o.Host)
	o.Host = openAs(o.folder, o.seeds[1], o.seeds)
	Expect(o.step()).To(Succeed())
}

func (o *oldHost) member(index int) *domain.Task {
	return o.stateMachine.Job(oldGangJob).Task(domain.TaskID{Job: oldGangJob, Index: index})
}

// fail ends a member on its worker as failed.
func (o *oldHost) fail(index int) {
	id, t := domain.TaskID{Job: oldGangJob, Index: index}, o.member(index)
	Expect(t.Assigned()).To(BeTrue())
	o.apply(domain.Command{End: &domain.EndAttempts{Worker: t.Worker, Ends: []domain.AttemptEnd{{Task: id, Attempt: t.Attempt, Outcome: domain.OutcomeFailed}}, OncePerRun: true, WithinRuns: true}})
}

// The files are the records of a core host of landing 79019bf, as its processes wrote them: both members of a gang have failed in
// a run, and the end of only one of them is committed.
var _ = DescribeTable("a host of an earlier version that has counted one member of a failed run", func(file, network string, snapshot bool, run int) {
	// Guards against a job that is given up after an upgrade, since the rest of the run counts again.
	o := openOld(file, network)
	Expect(o.stateMachine.Job(oldGangJob).Spec.MaxAttempts).To(Equal(2))
	Expect(o.begins > 0).To(Equal(snapshot))
	Expect(o.member(0).Failures).To(Equal(1))
	Expect(o.member(0).Attempt).To(Equal(run))
	left := 0
	if !o.member(0).Assigned() {
		left = 1
	}
	workers := []domain.WorkerIncarnation{o.stateMachine.Worker("i-0001").Incarnation, o.stateMachine.Worker("i-0002").Incarnation}

	By("the end of the other member")
	o.fail(left)
	Expect(o.stateMachine.Job(oldGangJob).State).To(Equal(domain.JobRunning))
	Expect(o.member(0).Failures).To(Equal(1))
	o.restart()

	By("the next run")
	var s domain.StartAttempts
	for i, w := range workers {
		s.Assignments = append(s.Assignments, domain.Assignment{Task: domain.TaskID{Job: oldGangJob, Index: i}, Worker: w})
	}
	o.apply(domain.Command{Start: &s})
	Expect(o.member(0).Attempt).To(Equal(run + 1))
	o.fail(1)
	Expect(o.stateMachine.Job(oldGangJob).State).To(Equal(domain.JobFailed))
	Expect(o.member(0).Failures).To(Equal(2))
	writeAndClose(o.Host)
},
	Entry("in its log", "half_counted.wal", "127.128", false, 1),
	Entry("in a snapshot", "half_counted_compacted.wal", "127.201", true, 1),
	PEntry("in its log, after a run that did not fail, see KNOWN-RED.txt", "half_counted_later.wal", "127.128", false, 2),
)
