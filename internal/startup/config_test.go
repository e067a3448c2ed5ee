package startup

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"sorrelvalve/control"
)

const settings = "classes.count=1\nclasses.0.aim=1800000000\nclasses.0.give_up=4500000000\n" +
	"classes.0.idempotency=idempotency_key\nclasses.0.window=5000000000\nfamily_info.halt=suspend\n" +
	"family_info.cores=6\nnew.path=1\n"

func TestParse(t *testing.T) {
	cases := []struct{ name, text, bad string }{
		{"sound", settings, ""},
		{"no path", "cores", "settings line 1: path=value expected"},
		{"not a number", settings + "family_info.cores=six\n", "family_info.cores: a number"},
		{"false length", settings + "customers.count=1000000000\n", "customers.count: at most"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, err := Parse(c.text)
			if c.bad != "" {
				if err == nil || !strings.Contains(err.Error(), c.bad) {
					t.Fatalf("error %v, want %q", err, c.bad)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			m := o.Methods[0]
			if m.LatencyObjective != 1800 || m.Deadline != 4500 || m.Idempotency != control.IdempotencyKeyed || m.DedupWindow != 5000 ||
				o.Node.Cores != 6 || o.Node.Preemption != control.PreemptSuspend || o.Fleet.Peers != 1 {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// What later deployments set that the first three did not, each as the wire names it.
func TestLaterSettings(t *testing.T) {
	cases := []struct {
		name, text string
		holds      func(o *Config) bool
	}{
		{"work that can be preempted and is lost", "family_info.halt=abort", func(o *Config) bool { return o.Node.Preemption == control.PreemptAbort }},
		{"feedback as a share of the usual traffic", "family_info.say=share_of", func(o *Config) bool { return o.Fleet.Feedback == control.FeedbackShare }},
		{"feedback as an admission level", "family_info.say=threshold", func(o *Config) bool { return o.Fleet.Feedback == control.FeedbackLevel }},
		{"reports with checks only", "report.how=probe\nreport.columns=waiting,avg_ms", func(o *Config) bool { return o.Fleet.Feedback == control.FeedbackNone }},
		{"checks that do real work", "family_info.real_checks=true", func(o *Config) bool { return len(o.Methods) == 1 }},
		{"no customers", "", func(o *Config) bool { return len(o.Customers) == 0 }},
		{"an empty list of customers", "customers.count=0", func(o *Config) bool { return len(o.Customers) == 0 }},
		{"callers that do not propagate deadlines", "family_info.passes_deadline=false", func(o *Config) bool { return !o.Fleet.PropagatesDeadline }},
		{"nor whether they do", "", func(o *Config) bool { return !o.Fleet.PropagatesDeadline }},
		{"callers that propagate deadlines", "family_info.passes_deadline=true", func(o *Config) bool { return o.Fleet.PropagatesDeadline }},
		{"retries without a mark", "client_habits.marks_retry=false", func(o *Config) bool { return !o.Fleet.MarksRetries }},
		{"a shared dependency", "family_info.below=shared\nfamily_info.call_share=0.4\nfamily_info.linger=200000000", func(o *Config) bool {
			return o.Dependency.ConcurrencyShare == 0.4 && o.Dependency.Linger == 200
		}},
		{"a tier that it calls, of which no share is set", "family_info.below=tier\nfamily_info.call_share=0.4", func(o *Config) bool { return o.Dependency.ConcurrencyShare == 0 }},
		{"answers without the call", "family_info.worth_without=0.6", func(o *Config) bool { return o.Methods[0].DegradedFraction == 0.6 }},
		{"worth by request", "value_by=request", func(o *Config) bool { return o.Methods[0].Criticality == 1 }},
		{"no reading of what is not known", "tier.new=1\nfam.shared_thrash=0.4", func(o *Config) bool { return o.Node.Cores == 6 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, err := Parse(settings + c.text)
			if err != nil {
				t.Fatal(err)
			}
			if !c.holds(o) {
				t.Errorf("got %+v", o)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(settings)
	f.Fuzz(func(t *testing.T, text string) {
		if o, err := Parse(text); err == nil && len(o.Methods) == 0 {
			t.Error("no method and no error")
		}
	})
}

const process = `{"name":"n3","listen":"127.0.0.1:8080","engine":"127.0.0.2:4400","members":"127.0.0.3:2379",
"seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":0.5,"memory_mb":128,"sockets":512},"settings":{
"classes":[{"name":"view","aim":1800000000,"idempotency":"read_like","late_worth":0.2},{"name":"buy","idempotency":"idempotency_key","window":5000000000}],
"customers":[{"name":"acme","quota_rps":52.0}],"client_habits":{"marks_retry":true},"limits":{"retry_after":true,"max_retry_after":1000000000},
"family_info":{"cores":6,"halt":"suspend","meters":["core_use","on_cores"],"worth_without":[0.0,0.3]},"new":{"key":[1,{"a":null}]}}}`

func TestParseProcess(t *testing.T) {
	cases := []struct{ name, old, new, bad string }{
		{"sound", "", "", ""},
		{"no JSON", `{"name"`, `{name`, "a JSON object expected"},
		{"more behind it", `}}}`, `}}}{`, "one JSON object expected"},
		{"no name", `"name":"n3",`, "", "name: a text expected, nothing there"},
		{"a name of another type", `"n3"`, "3", `name: a text expected, "3" there`},
		{"a name for no path", `"n3"`, `"a/b"`, "name: a name that can stand in a path"},
		{"no port", "127.0.0.2:4400", "127.0.0.2", "engine: an IP address and a port"},
		{"port out of range", "127.0.0.3:2379", "127.0.0.3:70000", "members: an IP address and a port"},
		{"a host by name", "127.0.0.3:2379", "db:2379", "members: an IP address and a port"},
		{"seed", "8c1f", "xyz", "seed: up to 16 hex digits"},
		{"time to the stop", "3200", "-1", "stop_ms: a number from 0 up"},
		{"memory out of range", `"memory_mb":128`, `"memory_mb":1`, "limits.memory_mb: a number from 16"},
		{"sockets of another type", "512", `"512"`, "limits.sockets: a number"},
		{"settings of another type", `"settings":{`, `"settings":7,"other":{`, "settings: an object expected"},
		{"no method", `"classes"`, `"other"`, "settings.classes.count: at least 1"},
		{"a time of another type", "1800000000", `"soon"`, "settings.classes.0.aim: a number from 0 up"},
		{"an object for a number", `"cores":6`, `"cores":{"a":1}`, "settings.family_info.cores: a number"},
		{"a truth of another type", `"marks_retry":true`, `"marks_retry":1`, "settings.client_habits.marks_retry: true or false"},
		{"unknown repeat kind", "idempotency_key", "maybe", "settings.classes.1.idempotency: read_like"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, err := parseProcess([]byte(strings.Replace(process, c.old, c.new, 1)), "", "127.0.0.9:1")
			if c.bad != "" {
				if err == nil || !strings.Contains(err.Error(), c.bad) {
					t.Fatalf("error %v, want %q", err, c.bad)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			o := p.Settings
			if p.Name != "n3" || p.Listen != "127.0.0.9:1" || p.StopTimeout.Milliseconds() != 3200 || p.Cores != 0.5 ||
				p.MemoryMB != 128 || p.Sockets != 512 || o.Node.Seed != 0x8c1f30d27a5be964 || o.Node.Cores != 6 ||
				o.Node.Preemption != control.PreemptSuspend || !o.Fleet.MarksRetries || o.Fleet.MaxRetryAfter != 1000 ||
				len(o.Methods) != 2 || o.Methods[0].LateFraction != 0.2 || o.Methods[1].DegradedFraction != 0.3 ||
				o.Methods[1].DedupWindow != 5000 || o.Customers[0].Name != "acme" || len(o.Gauges) != 2 {
				t.Errorf("got %+v with %+v", p, o)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	sound, broken := dir+"/sound.json", dir+"/broken.json"
	for file, text := range map[string]string{sound: process, broken: "{"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for file, bad := range map[string]string{sound: "", broken: "broken.json: a JSON object", "": "EDGE_CONFIG: the path", dir + "/none": "EDGE_CONFIG: open"} {
		env := map[string]string{"EDGE_CONFIG": file, "EDGE_NAME": "n7"}
		p, err := Load(func(key string) string { return env[key] })
		if bad == "" && (err != nil || p.Name != "n7") || bad != "" && (err == nil || !strings.Contains(err.Error(), bad)) {
			t.Errorf("%s: %+v, error %v; want %q", file, p, err, bad)
		}
	}
}

func TestRestartOnlyChanges(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"nothing changed", "", "", "[]"},
		{"what can be reloaded", "127.0.0.2:4400", "127.0.0.2:4401", "[]"},
		{"another seed", "8c1f", "8c1e", "[seed]"},
		{"one value of a list", `"late_worth":0.2`, `"late_worth":0.3`, "[settings.classes.0.late_worth]"},
		{"another key", `"memory_mb"`, `"x":1,"memory_mb"`, "[limits.x]"},
	}
	was, err := parseProcess([]byte(process), "", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, err := parseProcess([]byte(strings.Replace(process, c.old, c.new, 1)), "", "")
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(was.RestartOnlyChanges(next)); got != c.want {
				t.Errorf("restart only %s, want %s", got, c.want)
			}
			if back := fmt.Sprint(next.RestartOnlyChanges(was)); back != c.want {
				t.Errorf("the other way %s, want %s", back, c.want)
			}
		})
	}
}
