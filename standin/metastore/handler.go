package metastore

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Handler serves the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.faulty(s.list))
	mux.HandleFunc("POST /api/objects/{kind}", s.faulty(s.create))
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.faulty(s.get))
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.faulty(s.replace))
	mux.HandleFunc("PUT /api/objects/{kind}/{name}/status", s.faulty(s.replaceStatus))
	return mux
}

// faulty applies the fault in force to a call.
func (s *Store) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.current()
		switch {
		case f.down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case f.hang:
			// The end of the caller is only noticed once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		time.Sleep(f.delay)
		if f.droppingReplies {
			next(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discard is an answer that is lost.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // A caller that has left needs no answer.
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	kind := r.PathValue("kind")
	if q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	items, more, at := s.page(kind, q.Get("after"))
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, changed, ok := s.since(kind, after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		s.mu.Lock()
		deaf := s.fault.stalledWatches
		s.mu.Unlock()
		if len(events) > 0 && !deaf {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []event{}, "at": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.kinds[kind][o.Meta.Name]; ok {
		reply(w, http.StatusConflict, old)
		return
	}
	s.setLocked(kind, o)
	reply(w, http.StatusOK, s.kinds[kind][o.Meta.Name])
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(old *object, o object) {
		old.Spec, old.Meta.Finalizers = o.Spec, o.Meta.Finalizers
	})
}

func (s *Store) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(old *object, o object) { old.Status = o.Status })
}

// update changes an object if the caller's revision is the object's.
func (s *Store) update(w http.ResponseWriter, r *http.Request, change func(old *object, o object)) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
		return
	}
	before := old
	change(&old, o)
	if string(before.Spec) != string(old.Spec) || string(before.Status) != string(old.Status) || !slices.Equal(before.Meta.Finalizers, old.Meta.Finalizers) {
		s.setLocked(kind, old)
	}
	reply(w, http.StatusOK, s.kinds[kind][name])
}
