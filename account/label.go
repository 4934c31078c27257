package account

import "strings"

const (
	// maxLabels bounds the accounts that have metrics of their own. Each has a few
	// counters of about 200 bytes, and a scrape of 100 accounts stays small.
	maxLabels = 100
	// OtherLabel is the label of all accounts without a label of their own.
	OtherLabel = "other"
)

// assignLabels gives the first maxLabels accounts a label of their own. Names
// that differ only in characters that metrics do not permit would be the same
// metric; the later ones are counted under OtherLabel.
func (d *Directory) assignLabels() {
	taken := map[string]bool{OtherLabel: true}
	d.labels = make(map[string]string, min(len(d.accounts), maxLabels))
	for _, a := range d.accounts {
		if len(d.labels) == maxLabels {
			return
		}
		if label := labelOf(a.name); !taken[label] {
			taken[label] = true
			d.labels[a.name] = label
		}
	}
}

// labelOf returns the name in the characters that metrics permit.
func labelOf(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

// Label returns the name under which the metrics of an account are counted.
func (d *Directory) Label(name string) string {
	if label, ok := d.labels[name]; ok {
		return label
	}
	return OtherLabel
}

// Labels returns the labels in use, except OtherLabel, by the names of their
// accounts.
func (d *Directory) Labels() map[string]string { return d.labels }
