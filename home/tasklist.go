package home

// taskList is a doubly linked list of waiting tasks. The links are part of the
// tasks, so the list allocates nothing and removes any task in constant time.
type taskList struct {
	first, last *task
	n           int
}

func (l *taskList) append(t *task) {
	t.prev, t.next, t.list = l.last, nil, l
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.n++
}

func (l *taskList) remove(t *task) {
	if t.list != l {
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
	t.prev, t.next, t.list = nil, nil, nil
	l.n--
}
