package duty

import (
	"errors"
	"time"
)

// HandleWrite takes in the outcome of a write at the boot time now. Any error but
// ErrConflict means that the outcome is unknown.
func (m *Machine) HandleWrite(now time.Duration, v Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.attempt
	switch {
	case a == nil, a.store != m.stores:
	case err == nil:
		m.adopt(now, *a, v)
	case errors.Is(err, ErrConflict):
	default:
		m.delayStore(now)
	}
}

// HandleRead takes in the object as read at the boot time now. A version that does
// not exist means that there is no object.
func (m *Machine) HandleRead(now time.Duration, r Record, v Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.delayStore(now)
		return
	}
	if m.readFrom != m.stores {
		return
	}
	m.storeDelay = 0
	if !m.object.read || m.object.version != v {
		m.object.since = now
	}
	m.object.read, m.object.readAt, m.object.record, m.object.version = true, now, r, v
	own := v.Exists() && r.ownedBy(m.name, m.incarnation)
	a := m.attempt
	m.uncertain = false
	switch {
	case a != nil && own && r.Write == a.record.Write:
		m.adopt(now, *a, v)
	case a != nil && a.taking && own && r.Token == a.record.Token:
		// An earlier write of the same attempt to take the duty was executed late.
		m.adopt(now, attempt{record: r, taking: true}, v)
	case m.held == 0:
		m.attempt = nil
		m.learn(r)
	case own && r.Token == m.held:
		m.attempt = nil // The last write was not executed; the same content is written again.
	case r.Token < m.held:
		// The store lost the object, or was restored from an older copy.
		m.held, m.permitUntil, m.attempt, m.reclaim = 0, 0, nil, m.held
	default:
		m.release()
		m.learn(r)
	}
}

// adopt takes in that the store has executed a write.
func (m *Machine) adopt(now time.Duration, a attempt, v Version) {
	m.object = object{read: true, readAt: now, record: a.record, version: v, since: now}
	m.attempt, m.uncertain, m.storeDelay = nil, false, 0
	m.learn(a.record)
	if !a.taking {
		m.permitUntil = a.start + m.timing.sendWithin()
		m.witnessWait = a.start + m.timing.witnessWait()
		return
	}
	m.held, m.reclaim = a.record.Token, 0
	m.firstCallAt, m.permitUntil = now+m.timing.lease, 0
	m.retryAt, m.callDelay = 0, 0
	m.pending = nil
	if a.record.Payload != nil {
		m.pending = &Call{Position: a.record.Position, Payload: a.record.Payload}
	}
}

func (m *Machine) learn(r Record) {
	m.known = m.known.merge(Known{Token: r.Token, Position: r.Position})
}

// HandleCall takes in the outcome of a call at the boot time now. A call that
// failed may have been received and is repeated.
func (m *Machine) HandleCall(now time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.callDelay = min(max(2*m.callDelay, minRetryDelay), m.timing.period)
		m.retryAt = now + m.callDelay
		return
	}
	m.pending, m.permitUntil, m.callDelay = nil, 0, 0
	m.retryAt = now + m.timing.spacing
}

// delayStore postpones the next step after a failed call of the store, by a
// growing time.
func (m *Machine) delayStore(now time.Duration) {
	m.storeDelay = min(max(2*m.storeDelay, minRetryDelay), maxStoreDelay)
	m.retryAt = now + m.storeDelay
}
