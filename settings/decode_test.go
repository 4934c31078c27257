package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/catalogue/syntax"
	"medlaryard.example/medlaryard/settings"
)

const minimal = `name: entry-1
region: r
domain: d
caller: {listen: "10.0.0.1:8080"}
peer: {listen: "10.0.0.1:8081"}
operator: {listen: "10.0.0.1:8082"}
store: {address: "10.0.0.9:7000"}
`

func readKey(path string) ([]byte, error) {
	if path == "/key" {
		return []byte("0123456789abcdef\n"), nil
	}
	return nil, os.ErrNotExist
}

// Guards against a default that is not applied or differs from the documented one.
func TestDecodeFillsDefaults(t *testing.T) {
	got, err := settings.Decode("f", []byte(minimal), readKey)
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Default()
	want.Name, want.Region, want.Domain = "entry-1", "r", "d"
	want.CallerListen, want.CallerAdvertise = "10.0.0.1:8080", "10.0.0.1:8080"
	want.PeerListen, want.PeerAdvertise = "10.0.0.1:8081", "10.0.0.1:8081"
	want.OperatorListen, want.StoreAddress = "10.0.0.1:8082", "10.0.0.9:7000"
	if d := cmp.Diff(settings.New(want), got, cmp.AllowUnexported(settings.Settings{})); d != "" {
		t.Error(d)
	}
	if got.AddressTTL() != 5*time.Second || got.ShutdownLimit() != time.Minute || got.OnceWindow() != 10*time.Minute || got.Cell() != "main" {
		t.Errorf("defaults address_ttl %v, shutdown_limit %v, once.window %v, cell %q; want 5s, 1m0s, 10m0s, \"main\"", got.AddressTTL(), got.ShutdownLimit(), got.OnceWindow(), got.Cell())
	}
}

// Guards against a setting that is decoded into the wrong field or ignored.
func TestDecodeReadsEverySetting(t *testing.T) {
	text := `name: n
region: r
domain: d
cell: c
caller: {listen: "0.0.0.0:1", advertise: "10.0.0.1:1"}
peer: {listen: "0.0.0.0:2", advertise: "10.0.0.1:2", key_file: /key, connections: 3, message_bytes: 2000000}
operator: {listen: "127.0.0.1:3", key_file: /key}
store: {address: "10.0.0.9:4", timeout: 500ms, watch_wait: 10s}
vm_list: {address: "10.0.0.9:5", interval: 2s}
peers: ["10.0.0.2:2", "10.0.0.3:2"]
address_ttl: 3s
shutdown_limit: 30s
once: {window: 5m, records: 2000, bytes: 3000000}
searcher: {reply_bytes: 100000}
memory: 100000000
log: {level: debug}
`
	want := settings.New(settings.Spec{
		Name: "n", Region: "r", Domain: "d", Cell: "c",
		CallerListen: "0.0.0.0:1", CallerAdvertise: "10.0.0.1:1",
		PeerListen: "0.0.0.0:2", PeerAdvertise: "10.0.0.1:2", PeerKeyFile: "/key", PeerKey: "0123456789abcdef", PeerConnections: 3, PeerMessageBytes: 2_000_000,
		OperatorListen: "127.0.0.1:3", OperatorKeyFile: "/key", OperatorKey: "0123456789abcdef",
		StoreAddress: "10.0.0.9:4", StoreTimeout: 500 * time.Millisecond, StoreWatchWait: 10 * time.Second,
		VMListAddress: "10.0.0.9:5", VMListInterval: 2 * time.Second,
		Peers:      []string{"10.0.0.2:2", "10.0.0.3:2"},
		AddressTTL: 3 * time.Second, ShutdownLimit: 30 * time.Second,
		OnceWindow: 5 * time.Minute, OnceRecords: 2000, OnceBytes: 3_000_000,
		SearcherReplyBytes: 100_000, Memory: 100_000_000, LogLevel: settings.Debug,
	})
	for _, s := range settings.Table() {
		key := s.Path()[strings.LastIndexByte(s.Path(), '.')+1:]
		if !strings.Contains(text, key+":") {
			t.Errorf("setting %s is missing from this test", s.Path())
		}
	}
	got, err := settings.Decode("f", []byte(text), readKey)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got, cmp.AllowUnexported(settings.Settings{})); d != "" {
		t.Error(d)
	}
}

// Guards against accepting an invalid setting, and against errors without the file,
// the position and the expected value.
func TestDecodeFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "region: r", "region: r\nregoin: r", "f:3:1: regoin: expected one of the keys address_ttl"},
		{"unknown key of section", "store: {", "store: {adress: 1, ", "f:7:9: store.adress: expected one of the keys address, timeout, watch_wait"},
		{"missing section", "store: {address: \"10.0.0.9:7000\"}\n", "", "store.address: expected an IP address with port"},
		{"missing key", "name: entry-1\n", "", "f:1:1: name: expected a name"},
		{"duplicate", "domain: d", "domain: d\ndomain: e", "f:4:1: domain: expected each key once"},
		{"host name", "10.0.0.9:7000", "store:7000", "f:7:18: store.address: expected an IP address"},
		{"duration without unit", "region: r", "region: r\naddress_ttl: 5", "f:3:14: address_ttl: expected a duration from 1s to 1m0s"},
		{"fraction of a count", "region: r", "region: r\nonce: {records: 2000.5}", "f:3:17: once.records: expected"},
		{"out of range", "region: r", "region: r\naddress_ttl: 61s", "f:3:14: address_ttl: expected a duration from 1s to 1m0s"},
		{"wildcard address", "10.0.0.1:8080", "0.0.0.0:8080", "caller.advertise with an address that others can connect to"},
		{"equal listeners", "10.0.0.1:8082", "10.0.0.1:8080", "f:6:20: operator.listen: expected an address other than caller.listen"},
		{"shutdown too short", "region: r", "region: r\naddress_ttl: 10s\nshutdown_limit: 10s", "f:4:17: shutdown_limit: expected a shutdown_limit longer than address_ttl"},
		{"missing key file", "peer: {", "peer: {key_file: /none, ", "f:5:18: peer.key_file: expected the path of a file"},
		{"second document", "region: r\n", "region: r\n---\na: b\n", "expected one YAML document"},
		{"not a mapping", minimal, "- a", "(root): expected a mapping, found a list"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(minimal, tt.old) {
				t.Fatalf("the valid settings do not contain %q", tt.old)
			}
			_, err := settings.Decode("f", []byte(strings.Replace(minimal, tt.old, tt.new, 1)), readKey)
			var ps *syntax.Problems
			if !errors.As(err, &ps) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against settings that make the decoder panic, and against accepting settings
// without a required address. The seed corpus runs with the other tests.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(""))
	f.Add([]byte("caller: 5\npeers: [1, {a: b}]\nlog: {level: [x]}"))
	f.Add([]byte(minimal + "address_ttl: 1m\nshutdown_limit: 2s\n"))
	f.Add([]byte(minimal + "peers: 7\nonce: {records: 1e9}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Decode("f", text, readKey)
		if err == nil && (s.Name() == "" || s.CallerAdvertise() == "" || s.PeerAdvertise() == "" || s.OperatorListen() == "" || s.StoreAddress() == "") {
			t.Errorf("settings without a name or a required address are accepted: %q", text)
		}
	})
}
