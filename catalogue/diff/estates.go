package diff

import (
	"fmt"
	"strings"

	"medlaryard.example/medlaryard/catalogue"
)

// Estates returns the changes that lead from before to after: removals and
// changes in the order of before, then additions in the order of after.
// Adjacent entries of one service that change alike share one Change, so that
// a new row of replicas is one line. Generations are not compared.
func Estates(before, after catalogue.Estate) []Change {
	old, now := items(before), items(after)
	oldByName, nowByName := index(old), index(now)
	var changes []Change
	for _, o := range old {
		n, kept := nowByName[o.key()]
		if !kept {
			changes = append(changes, Change{verb: Removed, kind: o.kind, name: o.name, count: 1, fields: o.fields})
		} else if fields := changed(o, n); len(fields) > 0 {
			changes = append(changes, Change{verb: Changed, kind: o.kind, name: o.name, count: 1, fields: fields})
		}
	}
	for _, n := range now {
		if _, kept := oldByName[n.key()]; !kept {
			changes = append(changes, Change{verb: Added, kind: n.kind, name: n.name, count: 1, fields: n.fields})
		}
	}
	return join(changes)
}

func (i item) key() string { return i.kind + " " + i.name }

func index(list []item) map[string]item {
	m := make(map[string]item, len(list))
	for _, i := range list {
		m[i.key()] = i
	}
	return m
}

// changed returns the fields that differ. Both items are of one kind and so have the same fields.
func changed(o, n item) []Field {
	var fields []Field
	for i, f := range o.fields {
		if v := n.fields[i].value; v != f.value {
			fields = append(fields, Field{name: f.name, value: f.value, after: v})
		}
	}
	return fields
}

// join merges shards and searchers of one service that change alike into the first of them.
func join(changes []Change) []Change {
	var out []Change
	at := make(map[string]int)
	last := make(map[int]string)
	for _, c := range changes {
		if c.kind != "shard" && c.kind != "searcher" {
			out = append(out, c)
			continue
		}
		service, _, _ := strings.Cut(c.name, "/")
		key := fmt.Sprint(c.verb, c.kind, service, c.fields)
		i, ok := at[key]
		if !ok {
			at[key] = len(out)
			out = append(out, c)
			continue
		}
		out[i].count++
		last[i] = c.name
	}
	for i, name := range last {
		out[i].name += " to " + name
	}
	return out
}

// Text returns one line for each change, or one line that says there is none.
func Text(changes []Change) string {
	if len(changes) == 0 {
		return "no difference\n"
	}
	var out strings.Builder
	for _, c := range changes {
		out.WriteString(c.String() + "\n")
	}
	return out.String()
}
