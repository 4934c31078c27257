package node

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/duty"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/targets"
	"medlaryard.example/medlaryard/usage"
)

const (
	// usageTick is the time between two checks for counts to send.
	usageTick = 50 * time.Millisecond
	// usageFlushTimeout limits the last sending of counts during a shutdown.
	usageFlushTimeout = 300 * time.Millisecond
	// usageFlushInterval is the time between two attempts to do so.
	usageFlushInterval = 30 * time.Millisecond
	// dutyListenTime is how long a daemon listens for heartbeats after its start
	// before it may take the duty.
	dutyListenTime = fleet.LostAfter
)

// usageReports counts the requests of this daemon and takes part in reporting
// those of all daemons.
type usageReports struct {
	daemon   *Daemon
	self     usage.Source
	limits   usage.Limits
	trueTime *usage.TrueTime
	counter  *usage.Counter
	ledger   *usage.Ledger
	machine  *duty.Machine
	runner   *duty.Runner

	outboxMu sync.Mutex
	outbox   *usage.Outbox
	sends    sync.WaitGroup

	startedAt time.Duration
	holders   holderTracker
	skipped   int64 // Windows that were logged as not reported.
}

// newUsageReports returns nil if the settings have no section for it.
func newUsageReports(d *Daemon) *usageReports {
	s := d.settings.file.Usage
	if !s.enabled() {
		return nil
	}
	u := &usageReports{
		daemon: d, self: usage.Source{Daemon: d.settings.Name(), Incarnation: d.incarnation},
		limits: usage.NewLimits(s.window(), s.lease(), s.lateness()), trueTime: usage.NewTrueTime(d.clock), startedAt: d.clock.Boot(),
	}
	timing := duty.NewTiming(s.lease(), s.window(), s.callsPerSecond())
	u.counter = usage.NewCounter(u.currentWindow, func() int64 {
		return u.limits.WindowAt(u.trueTime.Now()-(d.clock.Boot()-u.startedAt)) + 1
	})
	u.ledger = usage.NewLedger(u.limits)
	u.outbox = usage.NewOutbox(u.counter)
	u.machine = duty.NewMachine(d.settings.Name(), d.incarnation, timing)
	d.mirror.Eras().OnChange(func(uint64) { u.machine.StoreChanged() })
	api := platform.NewCloudAPI(s.Address, d.clock, timing.CallTimeout())
	u.runner = duty.NewRunner(u.machine, d.clock, d.log, duty.Functions{
		Read: d.store.ReadDuty, Write: d.store.WriteDuty, Call: api.ReportUsage,
		View: u.view, Recorded: func() { d.fleet.SendHeartbeats(0) },
	})
	return u
}

func (u *usageReports) currentWindow() int64 { return u.limits.WindowAt(u.trueTime.Now()) }

// observer returns the observer that counts a request of an account.
func (u *usageReports) observer(account string) targets.Observer {
	if e := u.counter.Begin(account); e != nil {
		return e
	}
	return nil
}

// handler adds the service for counts to that of the mirror.
func (u *usageReports) handler(next http.Handler) http.Handler {
	counts := usage.Handler(u.ledger.Merge)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, usage.PathPrefix) {
			counts.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// state returns what heartbeats tell of the duty, nil without usage reports.
func (u *usageReports) state() *mirrorpb.DutyState {
	if u == nil {
		return nil
	}
	known := u.machine.Known()
	return &mirrorpb.DutyState{
		WallMs: u.daemon.clock.Now().UnixMilli(), Token: known.Token, Window: known.Position, Held: u.machine.Held(),
		StoreFailing: u.machine.StoreFailing(),
	}
}

// handleHeartbeat takes in what another daemon knows of the duty.
func (u *usageReports) handleHeartbeat(m fleet.Member) {
	s := m.Duty()
	if u == nil || s == nil || m.Name() == u.self.Daemon {
		return
	}
	u.trueTime.Observe(m.PeerAddress(), time.Duration(s.GetWallMs())*time.Millisecond)
	u.machine.Learn(duty.Known{Token: s.GetToken(), Position: s.GetWindow()})
	u.holders.record(s.GetHeld(), m.Name(), m.Incarnation(), m.Domain())
}

// available reports whether another daemon, which is alive, may hold the duty: it
// reaches the store, as far as it has tried to, and does not shut down.
func (u *usageReports) available(m fleet.Member) bool {
	return m.Duty() != nil && !m.Duty().GetStoreFailing() && !m.Leaving() && m.Name() != u.self.Daemon
}

// isCandidate reports whether this daemon is the first in the order of the serving
// daemons that may hold the duty, and none of them holds it.
func (u *usageReports) isCandidate(alive []fleet.Member) bool {
	token := u.machine.Known().Token
	for _, m := range alive {
		if u.available(m) && (!u.precedes(m) || token > 0 && m.Duty().GetHeld() == token) {
			return false
		}
	}
	return u.daemon.clock.Boot()-u.startedAt >= dutyListenTime
}

// view returns what this daemon knows of the others that may hold the duty.
func (u *usageReports) view() duty.View {
	d := u.daemon
	alive := d.fleet.AliveMembers()
	u.holders.record(u.machine.Held(), u.self.Daemon, u.self.Incarnation, d.settings.Domain())
	return duty.View{
		Able:      !d.shutdown.announced() && d.serving.includesSelf(),
		Candidate: u.isCandidate(alive),
		Stopped: func(r duty.Record, unchanged time.Duration) bool {
			return u.holders.stopped(r, unchanged, alive)
		},
		Witnessed: func(k duty.Known) bool { return witnessed(k, alive) },
		Next:      func(after int64) (duty.Call, bool) { return u.nextReport(after, alive) },
	}
}

// witnessed reports whether a daemon that is alive knows of a token and window, or
// no other one takes part in the duty.
func witnessed(k duty.Known, alive []fleet.Member) bool {
	alone := true
	for _, m := range alive {
		s := m.Duty()
		if s.GetToken() >= k.Token && s.GetWindow() >= k.Position {
			return true
		}
		alone = alone && s == nil
	}
	return alone
}

// nextReport returns the report that is due after the given window.
func (u *usageReports) nextReport(after int64, alive []fleet.Member) (duty.Call, bool) {
	expected := []usage.Source{u.self}
	for _, m := range alive {
		if m.Duty() != nil && m.Name() != u.self.Daemon {
			expected = append(expected, usage.Source{Daemon: m.Name(), Incarnation: m.Incarnation()})
		}
	}
	r, ok := u.ledger.Next(after, u.trueTime.Now(), expected)
	if !ok {
		return duty.Call{}, false
	}
	if skipped := u.ledger.Skipped(); skipped > u.skipped {
		u.daemon.log.Warn().Int64("windows", skipped-u.skipped).Int64("next_window", r.Window).
			Msg("usage of windows is not reported because their counts were lost, or too many waited")
		meter.Count("usage.windows_skipped", skipped-u.skipped)
		u.skipped = skipped
	}
	body, err := platform.EncodeReport(r)
	if err != nil {
		u.daemon.log.Error().Err(err).Int64("window", r.Window).Msg("encoding a usage report failed")
		return duty.Call{}, false
	}
	return duty.Call{Position: r.Window, Payload: body}, true
}

// run sends counts until ctx ends.
func (u *usageReports) run(ctx context.Context) {
	for clock.Sleep(ctx, u.daemon.clock, usageTick) == nil {
		u.exchange(ctx)
	}
	u.sends.Wait()
}

// exchange merges the own counts into the ledger, sends them to the daemons that
// need them, and removes what has been reported. It does not wait for the sends.
func (u *usageReports) exchange(ctx context.Context) {
	reported := u.machine.Known().Position
	u.counter.Forget(reported)
	u.ledger.Forget(reported)
	recipients := u.recipients()
	u.outboxMu.Lock()
	defer u.outboxMu.Unlock()
	now := u.daemon.clock.Boot()
	if own, ok := u.outbox.Next(u.self, now, false); ok {
		u.ledger.Merge(u.self, own)
		u.outbox.Delivered(u.self, own)
	}
	kept := []usage.Source{u.self}
	for _, m := range recipients {
		to := usage.Source{Daemon: m.Name(), Incarnation: m.Incarnation()}
		kept = append(kept, to)
		if update, ok := u.outbox.Next(to, now, !u.daemon.serving.includesSelf()); ok {
			u.sends.Go(func() { u.send(ctx, to, m.PeerAddress(), update) })
		}
	}
	u.outbox.Keep(kept...)
}

// send passes one update to a recipient.
func (u *usageReports) send(ctx context.Context, to usage.Source, address string, update usage.Update) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := usage.Send(callCtx, u.daemon.peers, address, u.self, update)
	u.outboxMu.Lock()
	defer u.outboxMu.Unlock()
	if err != nil {
		meter.Count("usage.send_failed", 1)
		u.outbox.Failed(to)
		return
	}
	u.outbox.Delivered(to, update)
}

// recipients returns the daemons, other than this one, that need the counts: the
// holder and the one that would take over from it. Without a holder they are the
// first two in the order.
func (u *usageReports) recipients() []fleet.Member {
	token := u.machine.Known().Token
	others := u.daemon.fleet.AliveMembers()
	slices.SortFunc(others, func(a, b fleet.Member) int {
		if u.holders.precedes(a.Name(), a.Domain(), b.Name(), b.Domain()) {
			return -1
		}
		return 1
	})
	holds := u.machine.Held() != 0
	i := slices.IndexFunc(others, func(m fleet.Member) bool { return token > 0 && m.Duty().GetHeld() == token })
	var list []fleet.Member
	if !holds && i >= 0 {
		list = append(list, others[i])
		others = slices.Delete(others, i, i+1)
	}
	taken, counted := len(list), holds // The number of daemons found, with this one if counted.
	if holds {
		taken++
	}
	for _, m := range others {
		if !counted && taken < 2 && u.precedes(m) {
			counted = true
			taken++
		}
		if taken >= 2 {
			break
		}
		if u.available(m) {
			list = append(list, m)
			taken++
		}
	}
	return list
}

// precedes reports whether this daemon comes before another one in the order of
// those that may take the duty.
func (u *usageReports) precedes(m fleet.Member) bool {
	return u.holders.precedes(u.self.Daemon, u.daemon.settings.Domain(), m.Name(), m.Domain())
}

// updateGauges sets the gauges of usage reports. It does nothing without them.
func (u *usageReports) updateGauges() {
	if u == nil {
		return
	}
	known := u.machine.Known()
	meter.Gauge("duty.token", int64(known.Token))
	meter.Gauge("duty.held", boolGauge(u.machine.Held() != 0))
	meter.Gauge("usage.window", u.currentWindow())
	meter.Gauge("usage.window_reported", known.Position)
	meter.Gauge("usage.windows_waiting", int64(u.ledger.Waiting()))
	meter.Gauge("usage.windows_dropped", u.counter.Dropped())
	wall := time.Duration(u.daemon.clock.Now().UnixNano())
	meter.Gauge("usage.clock_error_ms", (wall - u.trueTime.Now()).Milliseconds())
}

// flush passes on the last counts before the daemon ends.
func (u *usageReports) flush() {
	if u == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageFlushTimeout)
	defer cancel()
	for complete := false; !complete && clock.Sleep(ctx, u.daemon.clock, usageFlushInterval) == nil; {
		u.outboxMu.Lock()
		u.outbox.Hurry()
		complete = u.outbox.Complete()
		u.outboxMu.Unlock()
		u.exchange(ctx)
	}
}
