package diff

import (
	"cmp"
	"fmt"
	"strings"

	"medlaryard.example/medlaryard/catalogue"
)

// Compare returns the changes that lead from before to after: removals and
// changes in the order of before, then additions in the order of after. Shards or
// searchers of one service that change in the same way share one Change, so that a
// new row of replicas is one line. Generations are not compared.
func Compare(before, after catalogue.Estate) []Change {
	oldItems, newItems := items(before), items(after)
	oldByName, newByName := itemsByKey(oldItems), itemsByKey(newItems)
	var changes []Change
	for _, o := range oldItems {
		n, kept := newByName[o.key()]
		if !kept {
			changes = append(changes, Change{operation: Removed, kind: o.kind, name: o.name, count: 1, fields: o.fields})
		} else if fields := changedFields(o, n); len(fields) > 0 {
			changes = append(changes, Change{operation: Changed, kind: o.kind, name: o.name, count: 1, fields: fields})
		}
	}
	for _, n := range newItems {
		if _, kept := oldByName[n.key()]; !kept {
			changes = append(changes, Change{operation: Added, kind: n.kind, name: n.name, count: 1, fields: n.fields})
		}
	}
	return mergeEqual(changes)
}

func (i item) key() string { return i.kind + " " + i.name }

func itemsByKey(list []item) map[string]item {
	m := make(map[string]item, len(list))
	for _, i := range list {
		m[i.key()] = i
	}
	return m
}

// changedFields returns the fields that differ between o and n. Items of one kind
// have the same fields, except that the last one may be absent.
func changedFields(o, n item) []Field {
	var fields []Field
	for i := range max(len(o.fields), len(n.fields)) {
		before, after := o.field(i), n.field(i)
		if before.value != after.value {
			fields = append(fields, Field{name: cmp.Or(before.name, after.name), value: before.value, after: after.value})
		}
	}
	return fields
}

// field returns the field at an index, or one with the value "none".
func (i item) field(index int) Field {
	if index < len(i.fields) {
		return i.fields[index]
	}
	return Field{value: "none"}
}

// mergeEqual merges the changes of shards, and those of searchers, that are equal
// within one service into the first of them.
func mergeEqual(changes []Change) []Change {
	var out []Change
	indexes := make(map[string]int)
	lastNames := make(map[int]string)
	for _, c := range changes {
		if c.kind != "shard" && c.kind != "searcher" {
			out = append(out, c)
			continue
		}
		service, _, _ := strings.Cut(c.name, "/")
		key := fmt.Sprint(c.operation, c.kind, service, c.fields)
		i, ok := indexes[key]
		if !ok {
			indexes[key] = len(out)
			out = append(out, c)
			continue
		}
		out[i].count++
		lastNames[i] = c.name
	}
	for i, name := range lastNames {
		out[i].name += " to " + name
	}
	return out
}

// Format returns one line for each change, or "no difference" if there are none.
func Format(changes []Change) string {
	if len(changes) == 0 {
		return "no difference\n"
	}
	var out strings.Builder
	for _, c := range changes {
		out.WriteString(c.String() + "\n")
	}
	return out.String()
}
