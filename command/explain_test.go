package command

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// sampleLog holds lines about two requests, a truncated line and a line of another
// program. The daemon's lines have the prefix that a log collector adds.
const sampleLog = `  16.6 d1 {"daemon":"d1","request":"r1","at":7.7,"decision":"broken","shard":"s","target":"i-1","cause":"connection reset by peer","time":"t","message":"decision"}
  16.6 d1 {"daemon":"d1","request":"r2","route":"match","outcome":"partial","took":80,"missing":1,"shards":["s"],"message":"request"}
  16.7 d1 {"daemon":"d1","request":"r1","route":"play","configuration":14,"outcome":"searcher_failed","took":7.7,"objective":400,"usual":88.3,"sends":1,"cause":"searcher_failed: connection ended","message":"request"}
  16.8 d1 {"daemon":"d1","request":"r1","rou
another program's line
`

func explain(t *testing.T, args ...string) (Code, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	env := &Env{Stdin: strings.NewReader(sampleLog), Stdout: &out, Stderr: &errs}
	code := Main(context.Background(), append([]string{"explain"}, args...), env)
	return code, out.String(), errs.String()
}

// Guards against output that includes another request's lines, and against
// malformed lines that stop the reading or are skipped without a warning.
func TestExplain(t *testing.T) {
	code, out, errs := explain(t, "r1")
	want := `AT      DECISION         SHARD  TARGET  CAUSE                                                                                               DAEMON
7.7 ms  broken           s      i-1     connection reset by peer                                                                            d1
7.7 ms  searcher_failed                 searcher_failed: connection ended                                                                   d1
        context                         route play, configuration 14, objective 400 ms, usual latency of a target 88.3 ms, 1 sends  ` + "\n"
	normalizeSpace := func(s string) string { return strings.Join(strings.Fields(s), " ") }
	if diff := cmp.Diff(normalizeSpace(want), normalizeSpace(out)); diff != "" || code != OK {
		t.Errorf("code %d, output (-want +got):\n%s", code, diff)
	}
	if !strings.Contains(errs, "2 lines are not log lines") {
		t.Errorf("no warning about the malformed lines on standard error: %q", errs)
	}
}

// Guards against exit code 0 or output for a request that the logs do not contain.
func TestExplainUnknownRequest(t *testing.T) {
	code, out, errs := explain(t, "r9")
	if code == OK || out != "" || !strings.Contains(errs, "no log line mentions the request") {
		t.Errorf("got code %d, output %q, standard error %q; want a failure that says that no line mentions the request", code, out, errs)
	}
}
