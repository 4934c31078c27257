package home

// lane is a list of waiting tasks, linked through the tasks so that it needs no
// memory of its own and any task leaves it in constant time.
type lane struct {
	first, last *task
	n           int
}

func (l *lane) append(t *task) {
	t.prev, t.next, t.in = l.last, nil, l
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.n++
}

func (l *lane) remove(t *task) {
	if t.in != l {
		return
	}
	if t.prev == nil {
		l.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next, t.in = nil, nil, nil
	l.n--
}
