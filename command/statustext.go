package command

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// maxAttentionLines is the maximum number of lines that the summary prints about
// the groups and searchers of one service.
const maxAttentionLines = 10

// normalStates are the searcher states that need no attention: warm; new, which is
// not used yet; and out, which is in a failure domain that operators have taken out
// of service.
var normalStates = []string{"warm", "new", "out"}

// printStatus prints a summary of a status: the daemon, its cell, the catalogue, one
// line for each service, and the groups and searchers that need attention.
func printStatus(w io.Writer, body []byte) error {
	s, others, err := decodeStatus(body)
	if err != nil || s.Daemon == nil {
		// The daemon may have another version with another status format.
		return printTree(w, body)
	}
	d, c := s.Daemon, s.Cell
	fmt.Fprintf(w, "daemon %s: %s since %s, failure domain %s, region %s, %d requests in flight\n",
		d.Name, d.State, timeText(d.Since), d.Domain, d.Region, d.InFlight)
	fmt.Fprintf(w, "cell %s: epoch %d, %d members, keeper %s, store %s\n", c.Cell, c.Epoch, c.Members, orNone(c.Keeper), storeText(c))
	fmt.Fprintf(w, "catalogue: generation %d in force since %s by %s%s\n", c.InForceGeneration, timeText(c.InForceSince), orNone(c.Author), pendingText(c))
	for _, sv := range s.Services {
		printService(w, sv)
	}
	return printSections(w, others)
}

// printSections prints the sections that this version does not know as YAML, sorted
// by name.
func printSections(w io.Writer, sections map[string]json.RawMessage) error {
	var names []string
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		section, err := json.Marshal(map[string]json.RawMessage{name: sections[name]})
		if err != nil {
			return err
		}
		if err := printTree(w, section); err != nil {
			return err
		}
	}
	return nil
}

func printService(w io.Writer, s serviceReply) {
	shares := make(map[string]int)
	states := make(map[string]int)
	queued, inFlight := 0, 0
	for _, g := range s.Groups {
		shares[g.Share]++
		queued += g.Queued
		inFlight += g.InFlight
		// A daemon without a share has no current information about the searchers.
		if g.Share == "full" || g.Share == "reserved" {
			for _, r := range g.Searchers {
				states[r.State]++
			}
		}
	}
	fmt.Fprintf(w, "service %s: %s, policy %s, %d groups (%s), %d queued, %d in flight, searchers: %s\n",
		s.Name, s.InForce, s.Policy, len(s.Groups), counts(shares), queued, inFlight, counts(states))
	for _, m := range s.Moves {
		fmt.Fprintf(w, "  move %s from %s to %s: %s, share %g%% since %s%s\n",
			m.Name, m.From, m.To, m.Phase, 100*m.Share, timeText(m.Since), reasonText(m.Reason))
	}
	lines := attentionLines(s)
	for _, l := range lines[:min(len(lines), maxAttentionLines)] {
		fmt.Fprintln(w, "  "+l)
	}
	if n := len(lines) - maxAttentionLines; n > 0 {
		fmt.Fprintf(w, "  and %d more, shown with --all\n", n)
	}
}

// attentionLines describes an unapplied catalogue, the groups whose share differs
// from the requested one, and the searchers that need attention.
func attentionLines(s serviceReply) []string {
	var lines []string
	if s.WhyNot != "" {
		lines = append(lines, "catalogue: "+s.WhyNot)
	}
	for _, g := range s.Groups {
		if g.WhyNot != "" {
			lines = append(lines, fmt.Sprintf("group %s: %s instead of %s: %s", g.ID, g.Share, g.AskedShare, g.WhyNot))
		}
		if g.Share != "full" && g.Share != "reserved" {
			continue
		}
		for _, r := range g.Searchers {
			if !slices.Contains(normalStates, r.State) {
				lines = append(lines, fmt.Sprintf("searcher %s: %s", r.Name, r.State))
			}
		}
	}
	return lines
}

// counts formats the number of occurrences of each word, most frequent first.
func counts(occurrences map[string]int) string {
	if len(occurrences) == 0 {
		return "none"
	}
	var words []string
	for word := range occurrences {
		words = append(words, word)
	}
	slices.SortFunc(words, func(a, b string) int {
		if occurrences[a] != occurrences[b] {
			return occurrences[b] - occurrences[a]
		}
		return strings.Compare(a, b)
	})
	for i, word := range words {
		words[i] = fmt.Sprintf("%d %s", occurrences[word], word)
	}
	return strings.Join(words, ", ")
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func storeText(c cellReply) string {
	switch {
	case c.Standstill:
		return "down, standstill"
	case c.StoreReachable:
		return "reachable"
	default:
		return "not reachable"
	}
}

// pendingText describes a newer generation that is not in force, or returns an
// empty string if there is none.
func pendingText(c cellReply) string {
	switch {
	case c.AskedGeneration <= c.InForceGeneration:
		return ""
	case c.Refused != "":
		return fmt.Sprintf("; generation %d is refused: %s", c.AskedGeneration, c.Refused)
	default:
		return fmt.Sprintf("; generation %d is not in force yet", c.AskedGeneration)
	}
}

func reasonText(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}
