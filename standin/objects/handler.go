package objects

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"medlaryard.example/medlaryard/store"
)

const (
	objectsPath = "/v1/objects"
	// maxBodyBytes bounds the body of a PUT. It leaves room for a value of
	// MaxValueBytes in base64 and the JSON around it.
	maxBodyBytes = 2 * store.MaxValueBytes
	// maxWait bounds the wait that a client can request for a watch.
	maxWait = time.Minute
)

type wireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type wireList struct {
	Objects []wireObject `json:"objects"`
}

type wirePut struct {
	Expected *uint64 `json:"expected"`
	Value    []byte  `json:"value"`
}

// Handler serves a Store over HTTP by the object protocol of
// docs/platform-protocols.md. POST /admin/faults replaces the Faults, and GET
// /admin/calls returns the Calls, both as JSON.
type Handler struct{ store *Store }

// NewHandler returns a Handler for s.
func NewHandler(s *Store) *Handler { return &Handler{store: s} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, objectsPath+"/")
	switch {
	case r.URL.Path == "/admin/faults" && r.Method == http.MethodPost:
		h.setFaults(w, r)
	case r.URL.Path == "/admin/calls":
		writeJSON(w, h.store.Calls())
	case r.URL.Path == objectsPath:
		h.list(w, r)
	case key == r.URL.Path:
		http.NotFound(w, r)
	case r.Method == http.MethodPut:
		h.put(w, r, key)
	case r.URL.Query().Has("seen"):
		h.watch(w, r, key)
	default:
		o, err := h.store.Get(r.Context(), key)
		writeObject(w, o, err)
	}
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	// If a misspelled field were ignored, a test could pass without the fault.
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.store.SetFaults(f)
	writeJSON(w, f)
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	objects, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeObject(w, store.Object{}, err)
		return
	}
	list := wireList{Objects: []wireObject{}}
	for _, o := range objects {
		list.Objects = append(list.Objects, wireObject{o.Key(), o.Version(), o.Value()})
	}
	writeJSON(w, list)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var put wirePut
	if err == nil {
		err = json.Unmarshal(data, &put)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(put.Value) > store.MaxValueBytes {
		http.Error(w, fmt.Sprintf("value of %q has %d bytes, the limit is %d", key, len(put.Value), store.MaxValueBytes), http.StatusRequestEntityTooLarge)
		return
	}
	expected := store.Any
	if put.Expected != nil {
		expected = *put.Expected
	}
	o, err := h.store.Put(r.Context(), key, put.Value, expected)
	writeObject(w, o, err)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request, key string) {
	seen, err := strconv.ParseUint(r.URL.Query().Get("seen"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := maxWait
	if ms, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	o, err := h.store.Watch(ctx, key, seen)
	if errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, store.ErrUnavailable) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeObject(w, o, err)
}

// writeObject replies with o, or with the HTTP status of err.
func writeObject(w http.ResponseWriter, o store.Object, err error) {
	switch {
	case err == nil:
		writeJSON(w, wireObject{o.Key(), o.Version(), o.Value()})
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
