package metastore

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Handler returns a handler that serves the protocol of the platform's store and
// applies the injected fault.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.withFault(s.list))
	mux.HandleFunc("POST /api/objects/{kind}", s.withFault(s.create))
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.withFault(s.get))
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.withFault(s.replace))
	mux.HandleFunc("PUT /api/objects/{kind}/{name}/status", s.withFault(s.replaceStatus))
	return mux
}

// withFault wraps next so that the injected fault applies to each call.
func (s *Store) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, era := s.beginCall()
		stateEra(w, era) // The handlers replace it by the era in which they read or write.
		switch {
		case f.down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case f.hanging:
			// The server detects that the caller disconnected only after it read
			// the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		time.Sleep(f.delay)
		if f.droppingReplies {
			next(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discardWriter is an http.ResponseWriter that drops the reply.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// headerEra is the header field with the era of the store.
const headerEra = "Store-Era"

// stateEra sets the header field with the era in which an answer was made.
func stateEra(w http.ResponseWriter, era uint64) {
	if era > 0 {
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // Fails only if the caller disconnected.
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	kind := r.PathValue("kind")
	if q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	items, more, era, revision := s.page(kind, q.Get("after"))
	stateEra(w, era)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": revision})
}

// watch replies with the changes after the caller's revision. It waits up to
// wait_ms for a change and then replies with an empty list.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		c := s.changesSince(kind, after)
		stateEra(w, c.era)
		if !c.known {
			w.WriteHeader(http.StatusGone)
			return
		}
		s.mu.Lock()
		stalled, silent := s.fault.stalledWatches, s.fault.silentWatches
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(c.events) > 0 && !stalled {
			writeJSON(w, http.StatusOK, map[string]any{"events": c.events, "at": c.revision})
			return
		}
		select {
		case <-c.next:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []event{}, "at": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stateEra(w, s.era)
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
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
	stateEra(w, s.era)
	if existing, ok := s.objects[kind][o.Meta.Name]; ok {
		writeJSON(w, http.StatusConflict, existing)
		return
	}
	s.setLocked(kind, o)
	writeJSON(w, http.StatusOK, s.objects[kind][o.Meta.Name])
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(stored *object, o object) {
		stored.Spec, stored.Meta.Finalizers = o.Spec, o.Meta.Finalizers
	})
}

func (s *Store) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(stored *object, o object) { stored.Status = o.Status })
}

// update applies a change to an object if the revision in the request is 0 or
// equals the object's. A change without an effect gets no new revision.
func (s *Store) update(w http.ResponseWriter, r *http.Request, apply func(stored *object, o object)) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	stateEra(w, s.era)
	stored, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case o.Meta.Revision != 0 && o.Meta.Revision != stored.Meta.Revision:
		writeJSON(w, http.StatusConflict, stored)
		return
	}
	previous := stored
	apply(&stored, o)
	if string(previous.Spec) != string(stored.Spec) || string(previous.Status) != string(stored.Status) || !slices.Equal(previous.Meta.Finalizers, stored.Meta.Finalizers) {
		s.setLocked(kind, stored)
	}
	writeJSON(w, http.StatusOK, s.objects[kind][name])
}
