package settings

import (
	"net/netip"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// maxFileBytes is the maximum size of a settings file. A file with every setting is
// far smaller.
const maxFileBytes = 64 * kib

// Load reads the settings file at path and the key files that it names. If the
// settings are invalid, the error is a *syntax.Problems.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read the settings file")
	}
	return Decode(path, text, os.ReadFile)
}

// Decode parses the text of a settings file. Positions in errors use name as the file
// name, and readFile reads the key files. The error is a *syntax.Problems.
func Decode(name string, text []byte, readFile func(string) ([]byte, error)) (Settings, error) {
	ps := &syntax.Problems{}
	start := syntax.NewPosition(name, 1, 1)
	if len(text) > maxFileBytes {
		ps.Add(syntax.NewProblem(start, "", "at most 64 KiB of settings", "a longer file"))
		return Settings{}, ps.Err()
	}
	docs, err := syntax.Parse(name, text)
	ps.Merge(err)
	if err != nil && docs == nil {
		return Settings{}, ps.Err()
	}
	root := syntax.NewMap(start, "")
	if len(docs) > 0 {
		root = docs[0]
	}
	if len(docs) > 1 {
		ps.AddAt(docs[1], "one YAML document", "a second document")
	}
	d := newDecoder(root, ps)
	spec := d.decode()
	d.validate(&spec, readFile)
	if err := ps.Err(); err != nil {
		return Settings{}, err
	}
	return New(spec), nil
}

// decoder reads the sections of one settings file.
type decoder struct {
	problems *syntax.Problems
	root     *syntax.Mapping
	sections map[string]*syntax.Mapping
}

func newDecoder(root *syntax.Node, ps *syntax.Problems) *decoder {
	return &decoder{problems: ps, root: syntax.ReadMapping(root, ps), sections: make(map[string]*syntax.Mapping)}
}

func (d *decoder) decode() Spec {
	spec := Default()
	for _, s := range table {
		section, key := s.section()
		s.read(d.section(section), key, &spec)
	}
	for _, m := range d.sections {
		m.Close()
	}
	d.root.Close()
	return spec
}

func (d *decoder) section(name string) *syntax.Mapping {
	if name == "" {
		return d.root
	}
	if m := d.sections[name]; m != nil {
		return m
	}
	n := d.root.Get(name)
	if n == nil {
		n = syntax.NewMap(d.root.Node().Position(), name)
	}
	m := syntax.ReadMapping(n, d.problems)
	d.sections[name] = m
	return m
}

// validate sets derived defaults, reads the key files and reports values that
// contradict each other.
func (d *decoder) validate(spec *Spec, readFile func(string) ([]byte, error)) {
	d.setAdvertised("caller", spec.CallerListen, &spec.CallerAdvertise)
	d.setAdvertised("peer", spec.PeerListen, &spec.PeerAdvertise)
	d.checkDistinct("peer", spec.PeerListen, "caller.listen", spec.CallerListen)
	d.checkDistinct("operator", spec.OperatorListen, "caller.listen", spec.CallerListen)
	d.checkDistinct("operator", spec.OperatorListen, "peer.listen", spec.PeerListen)
	if spec.ShutdownLimit <= spec.AddressTTL {
		n := d.root.Get("shutdown_limit")
		if n == nil {
			n = d.root.Get("address_ttl")
		}
		d.problems.AddAt(n, "a shutdown_limit longer than address_ttl", spec.ShutdownLimit.String()+" and "+spec.AddressTTL.String())
	}
	spec.PeerKey = d.readKeyFile("peer", spec.PeerKeyFile, readFile)
	spec.OperatorKey = d.readKeyFile("operator", spec.OperatorKeyFile, readFile)
}

// setAdvertised sets the advertised address to the listen address if it is empty. It
// reports an unspecified address, because others cannot connect to it.
func (d *decoder) setAdvertised(section, listen string, advertise *string) {
	key := "advertise"
	if *advertise == "" {
		*advertise, key = listen, "listen"
	}
	a, err := netip.ParseAddrPort(*advertise)
	if n := d.sections[section].Get(key); err == nil && a.Addr().IsUnspecified() && n != nil {
		d.problems.AddAt(n, section+".advertise with an address that others can connect to", n.Found())
	}
}

// checkDistinct reports a listener whose address equals that of the listener at
// otherPath.
func (d *decoder) checkDistinct(section, address, otherPath, other string) {
	if n := d.sections[section].Get("listen"); n != nil && address != "" && address == other {
		d.problems.AddAt(n, "an address other than "+otherPath, n.Found())
	}
}

// readKeyFile reads a shared key. It rejects keys of less than 16 characters because
// they can be guessed.
func (d *decoder) readKeyFile(section, file string, readFile func(string) ([]byte, error)) string {
	if file == "" {
		return ""
	}
	n := d.sections[section].Get("key_file")
	text, err := readFile(file)
	if err != nil {
		d.problems.AddAt(n, keyFileType.Expected(), err.Error())
		return ""
	}
	key := strings.TrimSpace(string(text))
	if len(key) < 16 || len(key) > 256 || strings.ContainsAny(key, "\r\n") {
		d.problems.AddAt(n, keyFileType.Expected(), "a key of another length or with a line break")
	}
	return key
}
