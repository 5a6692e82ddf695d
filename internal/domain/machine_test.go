package domain_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// fixture is a state machine with one worker.
type fixture struct {
	*domain.StateMachine
	incarnation domain.WorkerIncarnation
	at          int64 // Time of the last command, Unix milliseconds.
}

func newFixture() *fixture {
	f := &fixture{StateMachine: domain.New(), incarnation: domain.WorkerIncarnation{ID: "w", BornMS: 5}, at: 1000}
	Expect(f.do(domain.Command{Register: worker("w", 5, "10.0.0.1:80")})).To(Equal(domain.Applied))
	return f
}

func worker(id string, born int64, address string) *domain.Worker {
	return &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: id, BornMS: born}, Pool: "p", Address: address, Zone: "z", Rack: "r",
		Labels: []string{"a", "r"}, Capacity: domain.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 8}}
}

func (f *fixture) do(c domain.Command) domain.Result {
	f.at += 10
	c.AtMS = f.at
	decoded, err := domain.DecodeCommand(c.Encode())
	Expect(err).NotTo(HaveOccurred())
	return f.Apply(decoded)
}

func (f *fixture) submit(spec domain.JobSpec) { f.do(domain.Command{Submit: &spec}) }

func (f *fixture) start(ids ...domain.TaskID) domain.Result {
	s := &domain.StartAttempts{}
	for _, id := range ids {
		s.Assignments = append(s.Assignments, domain.Assignment{Task: id, Worker: f.incarnation})
	}
	return f.do(domain.Command{Start: s})
}

func (f *fixture) end(id domain.TaskID, attempt int, outcome domain.Outcome, checkpoint string) {
	f.do(domain.Command{End: &domain.EndAttempts{
		Worker: f.incarnation, Ends: []domain.AttemptEnd{{Task: id, Attempt: attempt, Outcome: outcome, Checkpoint: checkpoint}}, OncePerRun: true, WithinRuns: true,
	}})
}

// restore replaces the state by a snapshot of it.
func restore(f *fixture) {
	restored := domain.New()
	Expect(restored.Restore(f.Snapshot())).To(Succeed())
	f.StateMachine = restored
}

func id(job string, index int) domain.TaskID {
	return domain.TaskID{Job: domain.JobID(job), Index: index}
}

var single = []domain.Step{{Count: 1, Task: domain.Resources{Accelerators: 2}}}

var _ = Describe("the state machine of a domain", func() {
	It("keeps the configuration with the highest version", func() {
		f := newFixture()
		Expect(f.do(domain.Command{Config: &domain.Config{Version: 7, Document: []byte("seven")}})).To(Equal(domain.Applied))
		Expect(f.do(domain.Command{Config: &domain.Config{Version: 6, Document: []byte("six")}})).To(Equal(domain.NotChanged))
		Expect(f.do(domain.Command{Config: &domain.Config{Version: 7, Document: []byte("other")}})).To(Equal(domain.NotChanged))
		Expect(string(f.Config().Document)).To(Equal("seven"))
	})

	// Guards against callers without a key who pass as a workspace.
	It("knows no workspace for a caller without a key, whatever keys are stored", func() {
		f := newFixture()
		f.do(domain.Command{Config: &domain.Config{Version: 1, Workspaces: []domain.Workspace{{Name: "t", Keys: []string{"", "k"}}}}})
		_, known := f.WorkspaceOf("")
		Expect(known).To(BeFalse())
		workspace, known := f.WorkspaceOf("k")
		Expect(known).To(BeTrue())
		Expect(workspace).To(Equal("t"))
	})

	It("finds the queue with the longest prefix of the path", func() {
		f := newFixture()
		f.do(domain.Command{Config: &domain.Config{Version: 1, Queues: []domain.Queue{
			{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}}}})
		q, _ := f.QueueFor("h", "/a/b/1")
		Expect(q.Name).To(Equal("long"))
		q, _ = f.QueueFor("h", "/a/c")
		Expect(q.Name).To(Equal("short"))
		_, found := f.QueueFor("other", "/a/c")
		Expect(found).To(BeFalse())
	})

	It("accepts a job once, even if it is submitted again", func() {
		f := newFixture()
		spec := domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single}
		Expect(f.do(domain.Command{Submit: &spec})).To(Equal(domain.Applied))
		f.start(id("j", 0))
		f.end(id("j", 0), 1, domain.OutcomeDone, "")
		Expect(f.do(domain.Command{Submit: &spec})).To(Equal(domain.NotChanged))
		Expect(f.Job("j").State).To(Equal(domain.JobCompleted))
	})

	It("runs one attempt of a task at a time, and numbers them in ascending order", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 9, Steps: single})
		Expect(f.start(id("j", 0))).To(Equal(domain.Applied))
		Expect(f.start(id("j", 0))).To(Equal(domain.NotChanged))
		f.end(id("j", 0), 1, domain.OutcomeStopped, "saved-1")
		Expect(f.start(id("j", 0))).To(Equal(domain.Applied))
		t := f.Job("j").Task(id("j", 0))
		Expect(t.Attempt).To(Equal(2))
		Expect(t.Checkpoint).To(Equal("saved-1"))
		f.end(id("j", 0), 1, domain.OutcomeDone, "")
		Expect(f.Job("j").State).To(Equal(domain.JobRunning), "a delayed end of an earlier attempt has no effect")
	})

	It("counts an attempt against its worker until the worker lists its end", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 9, Steps: []domain.Step{{Count: 2, Gang: true, Task: domain.Resources{Accelerators: 3}}}})
		f.start(id("j", 0), id("j", 1))
		f.end(id("j", 0), 1, domain.OutcomeDone, "")
		Expect(f.Job("j").State).To(Equal(domain.JobCompleted), "a gang is done when one member is")
		Expect(f.Worker("w").Free().Accelerators).To(Equal(int64(5)))
		f.end(id("j", 1), 1, domain.OutcomeDone, "")
		Expect(f.Worker("w").Free().Accelerators).To(Equal(int64(8)))
	})

	It("starts no task on a worker without enough free capacity, even if two plans ask for it", func() {
		// Guards against two independently made plans that are both applied and overcommit a worker.
		f := newFixture()
		big := []domain.Step{{Count: 3, Task: domain.Resources{Accelerators: 3}}}
		f.submit(domain.JobSpec{ID: "a", Steps: big})
		Expect(f.start(id("a", 0), id("a", 1), id("a", 2))).To(Equal(domain.Applied))
		Expect(f.Worker("w").Attempts()).To(HaveLen(2))
		Expect(f.start(id("a", 2))).To(Equal(domain.NotChanged))
		f.submit(domain.JobSpec{ID: "g", Steps: []domain.Step{{Count: 2, Gang: true, Task: domain.Resources{Accelerators: 2}}}})
		Expect(f.start(id("g", 0), id("g", 1))).To(Equal(domain.NotChanged), "only one of the two members fits")
		f.submit(domain.JobSpec{ID: "s", Steps: single})
		Expect(f.start(id("s", 0))).To(Equal(domain.Applied))
	})

	It("starts a gang only as a whole, with one attempt number", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 9, Steps: []domain.Step{{Count: 2, Gang: true}}})
		f.start(id("j", 0), id("j", 1))
		f.end(id("j", 0), 1, domain.OutcomeGangBroken, "")
		Expect(f.start(id("j", 0), id("j", 1))).To(Equal(domain.NotChanged), "the other member may still run")
		f.end(id("j", 1), 1, domain.OutcomeFailed, "")
		Expect(f.start(id("j", 0), id("j", 1))).To(Equal(domain.Applied))
		Expect(f.Job("j").Task(id("j", 0)).Attempt).To(Equal(2))
		Expect(f.Job("j").Task(id("j", 1)).Attempt).To(Equal(2))
		Expect(f.Job("j").Task(id("j", 0)).Failures).To(Equal(1))
	})

	DescribeTable("counts only failed attempts against the maximum of a task", func(how domain.Outcome, want domain.JobState) {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single})
		f.start(id("j", 0))
		f.end(id("j", 0), 1, how, "")
		Expect(f.Job("j").State).To(Equal(want))
	},
		Entry("done", domain.OutcomeDone, domain.JobCompleted),
		Entry("failed", domain.OutcomeFailed, domain.JobFailed),
		Entry("stopped", domain.OutcomeStopped, domain.JobRunning),
		Entry("lapsed", domain.OutcomeLeaseExpired, domain.JobRunning),
		Entry("alone", domain.OutcomeGangTimeout, domain.JobRunning),
		Entry("absent", domain.OutcomeAbsent, domain.JobRunning),
		Entry("lost", domain.OutcomeLost, domain.JobRunning),
	)

	DescribeTable("counts a failed run of a gang once, however many of its members fail", func(between func(f *fixture)) {
		// Guards against giving a job up before its gang has failed MaxAttempts times: members that failed together, as after
		// the failure of something they share, counted once each.
		f := newFixture()
		f.submit(domain.JobSpec{ID: "g", MaxAttempts: 2, Steps: []domain.Step{{Count: 3, Gang: true}}})
		for run := 1; run <= 2; run++ {
			Expect(f.start(id("g", 0), id("g", 1), id("g", 2))).To(Equal(domain.Applied), "run %d", run)
			for _, i := range []int{1, 2, 0} {
				f.end(id("g", i), run, domain.OutcomeFailed, "")
				between(f)
			}
		}
		Expect(f.Job("g").State).To(Equal(domain.JobFailed))
		Expect(f.Job("g").Task(id("g", 0)).Failures).To(Equal(2))
	},
		Entry("in commands of their own", func(*fixture) {}),
		Entry("with a snapshot between their ends", restore),
	)

	It("counts a failed run of a gang also after runs that failed alone or were lost", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "g", MaxAttempts: 3, Steps: []domain.Step{{Count: 2, Gang: true}}})
		for run, ends := range [][]domain.Outcome{
			{domain.OutcomeFailed, domain.OutcomeGangBroken}, {domain.OutcomeLost, domain.OutcomeLost}, {domain.OutcomeLost, domain.OutcomeFailed},
		} {
			f.start(id("g", 0), id("g", 1))
			f.end(id("g", 0), run+1, ends[0], "")
			f.end(id("g", 1), run+1, ends[1], "")
		}
		Expect(f.Job("g").Task(id("g", 0)).Failures).To(Equal(2))
		Expect(f.Job("g").State).To(Equal(domain.JobRunning))
	})

	It("applies the ends of a gang of an earlier version as the hosts of that version did", func() {
		// Guards against hosts that hold different states because one read a snapshot of that version and another its log.
		f := newFixture()
		f.submit(domain.JobSpec{ID: "g", MaxAttempts: 2, Steps: []domain.Step{{Count: 2, Gang: true}}})
		f.start(id("g", 0), id("g", 1))
		f.do(domain.Command{End: &domain.EndAttempts{Worker: f.incarnation, Ends: []domain.AttemptEnd{
			{Task: id("g", 0), Attempt: 1, Outcome: domain.OutcomeFailed}, {Task: id("g", 1), Attempt: 1, Outcome: domain.OutcomeFailed},
		}}})
		Expect(f.Job("g").State).To(Equal(domain.JobFailed))
		Expect(f.Job("g").Task(id("g", 0)).FailedRun).To(BeZero(), "snapshots of that version lack it")
	})

	DescribeTable("counts a run of a gang once of which an earlier version has counted a member", func(runs int, between func(f *fixture)) {
		// Guards against a job that is given up since a run was counted twice: by the hosts of the version before, and by those after.
		f := newFixture()
		f.submit(domain.JobSpec{ID: "g", MaxAttempts: runs + 1, Steps: []domain.Step{{Count: 3, Gang: true}}})
		fail := func(run, member int) {
			f.do(domain.Command{End: &domain.EndAttempts{Worker: f.incarnation, Ends: []domain.AttemptEnd{{Task: id("g", member), Attempt: run, Outcome: domain.OutcomeFailed}}}})
		}
		for run := 1; run <= runs; run++ {
			f.start(id("g", 0), id("g", 1), id("g", 2))
			fail(run, 1)
			if run < runs {
				f.end(id("g", 0), run, domain.OutcomeGangBroken, "")
				f.end(id("g", 2), run, domain.OutcomeGangBroken, "")
			}
		}
		between(f)
		f.end(id("g", 0), runs, domain.OutcomeFailed, "")
		f.end(id("g", 2), runs, domain.OutcomeFailed, "")
		Expect(f.Job("g").Task(id("g", 0)).Failures).To(Equal(runs))
		Expect(f.Job("g").State).To(Equal(domain.JobRunning))
		f.start(id("g", 0), id("g", 1), id("g", 2))
		f.end(id("g", 2), runs+1, domain.OutcomeFailed, "")
		Expect(f.Job("g").State).To(Equal(domain.JobFailed))
	},
		Entry("of one run, from its log", 1, func(*fixture) {}),
		Entry("of one run, from its snapshot", 1, restore),
		Entry("of the second run, from its log", 2, func(*fixture) {}),
		Entry("of the second run, from its snapshot", 2, restore),
	)

	It("accepts a task as done if its attempt is listed as done after it was recorded as lost", func() {
		// Guards against acknowledging and ignoring such an end: the task ran again, and the steps that depend on it
		// waited.
		f := newFixture()
		second := single[0]
		second.DependsOn = []int{0}
		f.submit(domain.JobSpec{ID: "j", Steps: []domain.Step{single[0], second}})
		f.start(id("j", 0))
		f.end(id("j", 0), 1, domain.OutcomeLost, "")
		f.start(id("j", 0))
		f.end(id("j", 0), 1, domain.OutcomeFailed, "")
		Expect(f.Job("j").Task(id("j", 0)).Failures).To(BeZero(), "a late failure of a lost attempt does not count")
		f.end(id("j", 0), 1, domain.OutcomeDone, "")
		Expect(f.Job("j").Task(id("j", 0)).Done).To(BeTrue())
		Expect(f.Job("j").Task(id("j", 0)).Assigned()).To(BeTrue(), "the second attempt stays until its end is listed")
		Expect(f.Job("j").StepReady(f.Job("j").Occurrences[0], 1)).To(BeTrue())
		f.end(id("j", 0), 2, domain.OutcomeStopped, "")
		Expect(f.start(id("j", 0))).To(Equal(domain.NotChanged))
		f.end(id("j", 0), 7, domain.OutcomeDone, "")
		Expect(f.Job("j").State).To(Equal(domain.JobRunning))
	})

	DescribeTable("continues a gang from the checkpoint of its stop, in any order of the ends", func(first, second int) {
		// Guards against dropping the checkpoints of all members but the first, and against replacing the checkpoint of
		// the stop by an older one.
		f := newFixture()
		f.submit(domain.JobSpec{ID: "g", MaxAttempts: 3, Steps: []domain.Step{{Count: 2, Gang: true, Checkpointable: true}}})
		f.start(id("g", 0), id("g", 1))
		how := []domain.Outcome{domain.OutcomeGangBroken, domain.OutcomeStopped}
		saved := []string{"periodic", "at-stop"}
		f.end(id("g", first), 1, how[first], saved[first])
		f.end(id("g", second), 1, how[second], saved[second])
		Expect(f.Job("g").Task(id("g", 0)).Checkpoint).To(Equal("at-stop"))
		f.start(id("g", 0), id("g", 1))
		f.end(id("g", 0), 2, domain.OutcomeLeaseExpired, "later")
		Expect(f.Job("g").Task(id("g", 0)).Checkpoint).To(Equal("later"), "the checkpoint of the next attempt replaces it")
	},
		Entry("stopped member last", 0, 1),
		Entry("stopped member first", 1, 0),
	)

	It("lets long-running tasks fail without limit", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: []domain.Step{{Count: 1, LongRunning: true}}})
		for n := 1; n < 5; n++ {
			f.start(id("j", 0))
			f.end(id("j", 0), n, domain.OutcomeFailed, "")
			Expect(f.Job("j").State).To(Equal(domain.JobRunning))
		}
	})

	It("starts a step only after the steps that it depends on are done", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: []domain.Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}})
		second := domain.TaskID{Job: "j", Step: 1}
		f.start(id("j", 0), id("j", 1))
		f.end(id("j", 0), 1, domain.OutcomeDone, "")
		Expect(f.start(second)).To(Equal(domain.NotChanged))
		f.end(id("j", 1), 1, domain.OutcomeDone, "")
		Expect(f.start(second)).To(Equal(domain.Applied))
	})

	It("executes an order for a zone only if no other order was executed after the revision that it names", func() {
		// Guards against an order that arrives after later ones and undoes them.
		f := newFixture()
		order := func(out bool, revision uint64) domain.Result {
			return f.do(domain.Command{Zone: &domain.SetZone{Zone: "z", Out: out, Revision: revision}})
		}
		seen := f.ZoneRevision()
		Expect(order(false, seen)).To(Equal(domain.NotChanged), "it is executed, though it changes nothing")
		Expect(order(true, seen)).To(Equal(domain.Superseded))
		Expect(order(true, f.ZoneRevision())).To(Equal(domain.Applied))
		restored := domain.New()
		Expect(restored.Restore(f.Snapshot())).To(Succeed())
		f.StateMachine = restored
		Expect(order(false, seen)).To(Equal(domain.Superseded))
		Expect(f.ZoneOut("z")).To(BeTrue())
		Expect(order(false, 0)).To(Equal(domain.Applied), "an entry of an earlier version")
		Expect(f.ZoneRevision()).To(Equal(seen+2), "which a snapshot of that version does not count")
	})

	It("starts nothing on a worker that drains, whose zone is out of service, or that is another incarnation", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single})
		f.do(domain.Command{Zone: &domain.SetZone{Zone: "z", Out: true}})
		Expect(f.start(id("j", 0))).To(Equal(domain.NotChanged))
		f.do(domain.Command{Zone: &domain.SetZone{Zone: "z"}})
		f.incarnation.BornMS = 6
		Expect(f.start(id("j", 0))).To(Equal(domain.NotChanged))
		f.incarnation.BornMS = 5
		draining := worker("w", 5, "10.0.0.1:80")
		draining.Draining = true
		f.do(domain.Command{Register: draining})
		f.do(domain.Command{Register: worker("w", 5, "10.0.0.1:80")})
		Expect(f.Worker("w").Draining).To(BeTrue(), "a delayed report does not end the draining")
		Expect(f.start(id("j", 0))).To(Equal(domain.NotChanged))
	})

	It("moves attempts to a later incarnation of their worker, and ignores delayed reports of the earlier one", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single})
		f.start(id("j", 0))
		free := f.Worker("w").Free()
		f.do(domain.Command{Register: worker("w", 9, "10.0.0.1:80")})
		task := f.Job("j").Task(id("j", 0))
		Expect(task.Moved).To(BeTrue())
		Expect(task.Worker).To(Equal(f.Worker("w").Incarnation))
		Expect(f.Worker("w").Attempts()).To(Equal(map[domain.TaskID]int{id("j", 0): 1}))
		Expect(f.Worker("w").Free()).To(Equal(free))
		Expect(f.do(domain.Command{Register: worker("w", 5, "10.0.0.1:80")})).To(Equal(domain.NotChanged))
		f.end(id("j", 0), 1, domain.OutcomeAbsent, "")
		Expect(task.Assigned()).To(BeTrue(), "the earlier incarnation has nothing to tell any more")
		f.incarnation.BornMS = 9
		Expect(f.start(id("j", 0))).To(Equal(domain.NotChanged))
		f.end(id("j", 0), 1, domain.OutcomeAbsent, "")
		Expect(task.Assigned() || task.Moved).To(BeFalse())
		Expect(f.start(id("j", 0))).To(Equal(domain.Applied))
		Expect(task.Moved).To(BeFalse())
		Expect(f.Worker("w").Incarnation.BornMS).To(Equal(int64(9)))
		f.do(domain.Command{Register: worker("x", 12, "10.0.0.1:80")})
		Expect(f.Worker("w")).To(BeNil(), "another worker has taken over its address")
		Expect(task.Assigned()).To(BeFalse())
		Expect(f.do(domain.Command{Register: worker("w", 9, "10.0.0.1:80")})).To(Equal(domain.NotChanged))
	})

	// Guards against replicas that differ because the order of a map decides which workers a refused report removes.
	It("removes no worker at an address if it ignores a report from there as delayed", func() {
		for range 32 {
			f := newFixture()
			f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single})
			f.start(id("j", 0))
			f.do(domain.Command{Register: worker("x", 20, "10.0.0.2:80")})
			f.do(domain.Command{Register: worker("x", 20, "10.0.0.1:80")})
			Expect(f.do(domain.Command{Register: worker("y", 10, "10.0.0.1:80")})).To(Equal(domain.NotChanged))
			Expect(f.Worker("w")).NotTo(BeNil())
			Expect(f.Job("j").Task(id("j", 0)).Assigned()).To(BeTrue())
		}
	})

	// Guards against a task that is started elsewhere while its worker runs on: a report is no evidence that the worker has ended.
	DescribeTable("does not let a registration take over what another one has", func(taken func(f *fixture) *domain.Worker) {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single})
		f.start(id("j", 0))
		f.do(domain.Command{Register: worker("other", 5, "10.0.0.8:80")})
		before, after := domain.New(), domain.New()
		Expect(before.Restore(f.Snapshot())).To(Succeed())
		Expect(f.do(domain.Command{Register: taken(f), NoTakeover: true})).To(Equal(domain.Superseded))
		Expect(after.Restore(f.Snapshot())).To(Succeed())
		Expect(after).To(Equal(before))
		Expect(f.do(domain.Command{Register: taken(f)})).To(Equal(domain.Applied), "an entry of an earlier version takes over")
	},
		Entry("the address", func(f *fixture) *domain.Worker { return worker("x", 99, f.Worker("w").Address) }),
		Entry("the identifier", func(f *fixture) *domain.Worker { return worker("w", 99, "10.0.0.9:80") }),
		Entry("the whole incarnation", func(f *fixture) *domain.Worker { return worker("w", f.incarnation.BornMS, "10.0.0.9:80") }),
		Entry("the identifier of one worker and the address of another", func(f *fixture) *domain.Worker { return worker("w", 99, "10.0.0.8:80") }),
	)

	It("purges an ended job only if it ended before the time and none of its attempts may run", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single})
		f.start(id("j", 0))
		f.do(domain.Command{Cancel: &domain.CancelJob{Job: "j"}})
		f.do(domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: f.at + 1000}})
		Expect(f.Job("j")).NotTo(BeNil())
		f.end(id("j", 0), 1, domain.OutcomeStopped, "")
		f.do(domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: 1}})
		Expect(f.Job("j").State).To(Equal(domain.JobCancelled))
		f.do(domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: f.at + 1000}})
		Expect(f.Job("j")).To(BeNil())
	})

	It("moves the machines of a wave through the stages of their upkeep, and completes the wave after the last one", func() {
		f := newFixture()
		wave := domain.Wave{Number: 3, Machines: []string{"m1", "m2"}, MaxDown: 1}
		Expect(f.do(domain.Command{Wave: &wave})).To(Equal(domain.Applied))
		again := domain.Wave{Number: 3, Machines: []string{"m9"}, MaxDown: 5}
		Expect(f.do(domain.Command{Wave: &again})).To(Equal(domain.NotChanged), "the first wave with a number is kept")
		to := func(machine string, stage domain.UpkeepStage) domain.Result {
			return f.do(domain.Command{Upkeep: &domain.UpkeepProgress{Wave: 3, Machine: machine, Stage: stage}})
		}
		Expect(to("m9", domain.UpkeepOrdered)).To(Equal(domain.NotFound))
		Expect(to("m1", domain.UpkeepOrdered)).To(Equal(domain.Applied))
		Expect(f.Waves()[3].Down()).To(Equal(1))
		Expect(to("m1", domain.UpkeepBegun)).To(Equal(domain.Applied))
		Expect(to("m1", domain.UpkeepOrdered)).To(Equal(domain.NotChanged), "a confirmed upkeep does not go back to an earlier stage")
		Expect(to("m1", domain.UpkeepOver)).To(Equal(domain.Applied))
		Expect(f.Waves()[3].Completed()).To(BeFalse())
		Expect(to("m2", domain.UpkeepOver)).To(Equal(domain.Applied))
		Expect(f.Waves()[3].Completed()).To(BeTrue())
	})

	It("completes a scheduled job after its last occurrence", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", MaxAttempts: 1, Steps: single, RepeatCount: 2, StartAtMS: 1, IntervalMS: 1})
		Expect(f.Job("j").Occurrences).To(BeEmpty())
		for k := range 2 {
			f.do(domain.Command{Release: &domain.ReleaseOccurrences{Job: "j", Count: k + 1}})
			task := domain.TaskID{Job: "j", Occurrence: k}
			f.start(task)
			f.end(task, 1, domain.OutcomeDone, "")
		}
		Expect(f.Job("j").State).To(Equal(domain.JobCompleted))
	})

	It("has the same state after a snapshot is restored", func() {
		f := newFixture()
		f.do(domain.Command{Config: &domain.Config{Version: 7, Document: []byte("seven"), Workspaces: []domain.Workspace{{Name: "t", Keys: []string{"k"}}}}})
		for i := range 3 {
			f.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("j", i)), MaxAttempts: 1, Steps: single})
		}
		f.start(id("j0", 0), id("j1", 0))
		f.do(domain.Command{Cancel: &domain.CancelJob{Job: "j1"}})
		f.do(domain.Command{Zone: &domain.SetZone{Zone: "z", Out: true}})
		other := domain.New()
		Expect(other.Restore(f.Snapshot())).To(Succeed())
		Expect(other.Worker("w").Free()).To(Equal(f.Worker("w").Free()))
		Expect(other.Worker("w").Attempts()).To(Equal(f.Worker("w").Attempts()))
		Expect(other.OpenJobs()).To(HaveLen(2))
		Expect(other.EndedWithAttempts()).To(HaveKey(domain.JobID("j1")))
		Expect(other.ZoneOut("z")).To(BeTrue())
		w, _ := other.WorkspaceOf("k")
		Expect(w).To(Equal("t"))
		Expect(other.Snapshot()).To(HaveLen(len(f.Snapshot())))
	})

	It("rejects a snapshot that cannot be decoded", func() {
		Expect(domain.New().Restore([]byte("no"))).NotTo(Succeed())
	})

	DescribeTable("rejects malformed task identifiers", func(name string) {
		_, err := domain.ParseTaskID(name)
		Expect(err).To(HaveOccurred())
	},
		Entry("too few parts", "j.0.1"), Entry("a negative number", "j.0.1.-2"), Entry("a part that is not a number", "j.0.x.2"), Entry("nothing", ""))
})

var _ = Describe("a long-running task", func() {
	lasting := []domain.Step{{Count: 1, Task: domain.Resources{Accelerators: 2}, LongRunning: true}}

	// Guards against a job that nobody has cancelled and that is shown as completed, with nothing of it running.
	It("may start again after an attempt that ended as done", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", Steps: lasting, MaxAttempts: 1})
		f.start(id("j", 0))
		f.end(id("j", 0), 1, domain.OutcomeDone, "")
		Expect(f.Job("j").State).To(Equal(domain.JobRunning))
		Expect(f.start(id("j", 0))).To(Equal(domain.Applied))
		Expect(f.Job("j").Task(id("j", 0)).Attempt).To(Equal(2))
	})

	It("keeps its newer attempt when an earlier one, given up as lost, turns out to be done", func() {
		f := newFixture()
		f.submit(domain.JobSpec{ID: "j", Steps: lasting, MaxAttempts: 1})
		f.start(id("j", 0))
		f.end(id("j", 0), 1, domain.OutcomeLost, "")
		f.start(id("j", 0))
		f.end(id("j", 0), 1, domain.OutcomeDone, "")
		Expect(f.Job("j").State).To(Equal(domain.JobRunning))
		Expect(f.Job("j").Task(id("j", 0)).Done).To(BeFalse())
		Expect(f.Job("j").Task(id("j", 0)).Assigned()).To(BeTrue())
	})
})
