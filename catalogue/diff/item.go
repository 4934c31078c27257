package diff

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"medlaryard.example/medlaryard/account"
	"medlaryard.example/medlaryard/catalogue"
)

// item is one entry in comparable form. Its name is unique among items of its kind.
type item struct {
	kind   string
	name   string
	fields []Field
}

func (i *item) add(name string, value any) {
	i.fields = append(i.fields, Field{name: name, value: fmt.Sprint(value)})
}

func newItem(kind, name string, e catalogue.Entry) item {
	i := item{kind: kind, name: name}
	i.add("owner", e.Owner())
	i.add("class", e.Class())
	i.add("limits", formatLimits(e.Limits()))
	return i
}

func formatLimits(l catalogue.Limits) string {
	return fmt.Sprintf("%v/s and %d in flight", l.Rate(), l.Concurrency())
}

// items lists the entries of an estate, enclosing entries first.
func items(e catalogue.Estate) []item {
	var out []item
	for _, d := range e.Domains() {
		i := newItem("failure domain", d.Name(), d.Entry)
		i.add("region", d.Region())
		i.add("in_service", d.InService())
		out = append(out, i)
	}
	for _, o := range e.Owners() {
		i := newItem("owner", o.Name(), o.Entry)
		for _, c := range []catalogue.Class{catalogue.Interactive, catalogue.Batch} {
			if l, ok := o.ClassLimits()[c]; ok {
				i.add(string(c), formatLimits(l))
			} else {
				i.add(string(c), "denied")
			}
		}
		if keys := o.KeyDigests(); len(keys) > 0 {
			i.add("key_digests", formatKeys(keys))
		}
		out = append(out, i)
	}
	for _, s := range e.Services() {
		out = append(out, serviceItems(s)...)
	}
	return out
}

// formatKeys lists the first digits of each digest, which suffice to tell keys
// apart.
func formatKeys(keys []account.Digest) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.Short()
	}
	slices.Sort(names)
	return "[" + strings.Join(names, " ") + "]"
}

func serviceItems(s *catalogue.Service) []item {
	i := newItem("service", s.Name(), s.Entry)
	i.add("policy", s.Policy())
	i.add("group_size", s.GroupSize())
	i.add("max_deadline", s.MaxDeadline())
	i.add("hedge_quantile", s.HedgeQuantile())
	i.add("extra_budget", s.ExtraBudget())
	i.add("patience_factor", s.PatienceFactor())
	i.add("non_idempotent", s.NonIdempotent())
	i.add("shards", len(s.Shards()))
	out := []item{i}
	for _, m := range s.Moves() {
		out = append(out, moveItem(s, m))
	}
	for _, sh := range s.Shards() {
		out = append(out, newItem("shard", s.Name()+"/"+sh.Name(), sh.Entry))
		for _, r := range sh.Searchers() {
			out = append(out, searcherItem(s, sh, r))
		}
	}
	return out
}

func moveItem(s *catalogue.Service, m *catalogue.Move) item {
	i := newItem("move", s.Name()+"/"+m.Name(), m.Entry)
	i.add("from", m.From())
	i.add("to", m.To())
	i.add("start", m.Start().Format(time.RFC3339))
	i.add("finish_by", m.FinishBy().Format(time.RFC3339))
	i.add("max_share", m.MaxShare())
	i.add("guarded_routes", "["+strings.Join(m.GuardedRoutes(), " ")+"]")
	i.add("max_error_ratio", m.MaxErrorRatio())
	i.add("max_latency_ratio", m.MaxLatencyRatio())
	i.add("min_evidence", m.MinEvidence())
	return i
}

// searcherItem names the item by the searcher's address, which is unique in the
// estate. The fields omit the shard, so that the searchers of a row of replicas have
// equal fields and their changes are merged.
func searcherItem(s *catalogue.Service, sh *catalogue.Shard, r *catalogue.Searcher) item {
	i := newItem("searcher", s.Name()+"/"+sh.Name()+"/"+r.Address(), r.Entry)
	i.add("domain", r.Domain())
	i.add("version", r.Version())
	i.add("slots", r.Slots())
	i.add("connections", r.Connections())
	i.add("cold_limit", r.ColdLimit())
	return i
}
