package duty

import (
	"sync"
	"time"
)

// Machine decides for one daemon whether it holds a duty and what it does for it.
// Times are boot times. It is safe for concurrent use; the steps of one daemon
// are carried out one after another.
type Machine struct {
	name        string
	incarnation uint64
	timing      Timing

	mu    sync.Mutex
	known Known
	held  uint64 // Token that this daemon holds, 0 if none.

	object    object
	attempt   *attempt // The last write, while its outcome is unknown or not adopted.
	uncertain bool     // The object must be read before the next write.
	stores    int      // Number of changes of the store.
	readFrom  int      // The value of stores when the last read began.
	reclaim   uint64   // Token of this daemon when it found an older copy of its object, 0 if it did not.

	writes      uint64
	steppedAt   time.Duration // The last step.
	firstCallAt time.Duration
	witnessWait time.Duration // Until when the call in the object waits for a witness.
	permitUntil time.Duration // Until when the call in the object may begin; 0 if it may not.
	pending     *Call         // The call that is recorded or about to be, and not answered.

	retryAt    time.Duration
	storeDelay time.Duration // The last delay after a failed call of the store.
	callDelay  time.Duration // The last delay after a failed call of the duty.
}

// object is what the daemon knows of the object in the store.
type object struct {
	read    bool
	readAt  time.Duration
	record  Record
	version Version
	since   time.Duration // When the version was first seen.
}

// attempt is a write that was begun.
type attempt struct {
	record Record
	start  time.Duration
	taking bool // It takes the duty.
	store  int  // The value of Machine.stores when it began.
}

// NewMachine returns the decisions of the daemon with the given name. The
// incarnation must differ for each start of the daemon.
func NewMachine(name string, incarnation uint64, t Timing) *Machine {
	return &Machine{name: name, incarnation: incarnation, timing: t}
}

// Learn takes in the highest token and position that another daemon knows of.
func (m *Machine) Learn(k Known) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = m.known.merge(k)
}

// Known returns the highest token and position that this daemon knows of.
func (m *Machine) Known() Known {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Held returns the token that this daemon holds, or 0.
func (m *Machine) Held() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held < m.known.Token {
		return 0
	}
	return m.held
}

// StoreFailing reports whether the last calls of the store failed. A single lost
// answer does not count.
func (m *Machine) StoreFailing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeDelay > minRetryDelay
}

// StoreChanged is called when the store is another one than before, or an older
// copy of it. What was read or written before, or is being read or written, no
// longer counts. A holder continues only after it has read its object again.
func (m *Machine) StoreChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stores++
	m.permitUntil = 0
	m.object = object{}
	m.uncertain = m.held != 0
}

// Step returns what to do at the boot time now.
func (m *Machine) Step(now time.Duration, v View) Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != 0 && (m.held < m.known.Token || !v.Able) {
		m.release()
	}
	if m.held != 0 && now-m.steppedAt > m.timing.lease {
		// The daemon was suspended for so long that a successor may have made calls.
		// If the store was restored too, the revision of the object may have been
		// assigned again, to the successor's record; a write would replace it.
		m.uncertain, m.permitUntil = true, 0
	}
	m.steppedAt = now
	if m.held == 0 {
		return m.seek(now, v)
	}
	if now < m.retryAt {
		return Step{}
	}
	if m.uncertain {
		return m.readStep(now)
	}
	if now < m.firstCallAt {
		return Step{}
	}
	if m.pending == nil {
		c, ok := v.Next(m.known.Position)
		if !ok || c.Position <= m.known.Position {
			return Step{}
		}
		m.pending, m.permitUntil = &c, 0
	}
	if now < m.permitUntil {
		if now < m.witnessWait && !v.Witnessed(Known{Token: m.held, Position: m.pending.Position}) {
			return Step{}
		}
		return Step{action: Send, record: m.object.record, deadline: m.permitUntil + m.timing.CallTimeout()}
	}
	return m.writeStep(now, Record{Token: m.held, Position: m.pending.Position, Payload: m.pending.Payload}, false)
}

// seek returns the next step of a daemon that does not hold the duty.
func (m *Machine) seek(now time.Duration, v View) Step {
	reclaims := m.reclaim != 0 && m.reclaim == m.known.Token
	if !v.Able || !v.Candidate && !reclaims {
		m.release()
		return Step{}
	}
	if now < m.retryAt {
		return Step{}
	}
	if !m.object.read || m.uncertain {
		return m.readStep(now)
	}
	o := m.object
	free := !o.version.Exists() || reclaims || o.record.Holder == m.name || v.Stopped(o.record, now-o.since) ||
		now-o.since >= m.timing.silence()
	if free && now-o.readAt <= m.timing.poll() {
		return m.takeStep(now)
	}
	if free || now-o.readAt >= m.timing.poll() {
		return m.readStep(now)
	}
	return Step{}
}

// takeStep returns the write that takes the duty. It keeps the recorded call, so
// that it is repeated, unless a later one is known to have been recorded.
func (m *Machine) takeStep(now time.Duration) Step {
	r := Record{Token: max(m.object.record.Token, m.known.Token) + 1, Position: m.known.Position}
	switch stored := m.object.record; {
	case stored.Position >= m.known.Position:
		r.Position, r.Payload = stored.Position, stored.Payload
	case m.pending != nil && m.pending.Position == m.known.Position:
		r.Payload = m.pending.Payload
	}
	return m.writeStep(now, r, true)
}

func (m *Machine) writeStep(now time.Duration, r Record, taking bool) Step {
	m.writes++
	r.Holder, r.Incarnation, r.Write = m.name, m.incarnation, m.writes
	m.attempt = &attempt{record: r, start: now, taking: taking, store: m.stores}
	m.uncertain = true // Until the outcome is known.
	return Step{action: Write, record: r, version: m.object.version}
}

func (m *Machine) readStep(now time.Duration) Step {
	m.object.readAt, m.readFrom = now, m.stores
	return Step{action: Read}
}

// release gives up the duty. A call that is recorded may be repeated only by the
// successor.
func (m *Machine) release() {
	m.held, m.permitUntil, m.pending = 0, 0, nil
	m.attempt, m.uncertain, m.object = nil, false, object{}
	m.reclaim, m.retryAt, m.storeDelay, m.callDelay = 0, 0, 0, 0
}
