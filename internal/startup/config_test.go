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
	cases := []struct{ name, text, wantErr string }{
		{"valid", settings, ""},
		{"line without a path", "cores", "settings line 1: must be path=value"},
		{"not a number", settings + "family_info.cores=six\n", "family_info.cores: must be a number"},
		{"list length above the number of values", settings + "customers.count=1000000000\n", "customers.count: must be at most"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config, err := Parse(c.text)
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Fatalf("got error %v, want one that contains %q", err, c.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			m := config.Methods[0]
			if m.LatencyObjective != 1800 || m.Deadline != 4500 || m.Idempotency != control.IdempotencyKeyed || m.DedupWindow != 5000 ||
				config.Node.Cores != 6 || config.Node.Preemption != control.PreemptSuspend || config.Fleet.Peers != 1 {
				t.Errorf("config: got %+v", config)
			}
		})
	}
}

// TestLaterSettings checks settings that the first three deployments do not have, under their names on the wire.
func TestLaterSettings(t *testing.T) {
	cases := []struct {
		name, text string
		check      func(config *Config) bool
	}{
		{"preemption by abort", "family_info.halt=abort", func(config *Config) bool { return config.Node.Preemption == control.PreemptAbort }},
		{"feedback as a share of normal traffic", "family_info.say=share_of", func(config *Config) bool { return config.Fleet.Feedback == control.FeedbackShare }},
		{"feedback as an admission level", "family_info.say=threshold", func(config *Config) bool { return config.Fleet.Feedback == control.FeedbackLevel }},
		{"reports only with health checks", "report.how=probe\nreport.columns=waiting,avg_ms", func(config *Config) bool { return config.Fleet.Feedback == control.FeedbackNone }},
		{"health checks that run real RPCs", "family_info.real_checks=true", func(config *Config) bool { return len(config.Methods) == 1 }},
		{"no customers", "", func(config *Config) bool { return len(config.Customers) == 0 }},
		{"an empty list of customers", "customers.count=0", func(config *Config) bool { return len(config.Customers) == 0 }},
		{"callers that do not propagate deadlines", "family_info.passes_deadline=false", func(config *Config) bool { return !config.Fleet.PropagatesDeadline }},
		{"unknown whether callers propagate deadlines", "", func(config *Config) bool { return !config.Fleet.PropagatesDeadline }},
		{"callers that propagate deadlines", "family_info.passes_deadline=true", func(config *Config) bool { return config.Fleet.PropagatesDeadline }},
		{"retries without a mark", "client_habits.marks_retry=false", func(config *Config) bool { return !config.Fleet.MarksRetries }},
		{"a shared dependency", "family_info.below=shared\nfamily_info.call_share=0.4\nfamily_info.linger=200000000", func(config *Config) bool {
			return config.Dependency.ConcurrencyShare == 0.4 && config.Dependency.Linger == 200
		}},
		{"a dependency that is not shared: the share is ignored", "family_info.below=tier\nfamily_info.call_share=0.4", func(config *Config) bool { return config.Dependency.ConcurrencyShare == 0 }},
		{"degraded results without the dependency", "family_info.worth_without=0.6", func(config *Config) bool { return config.Methods[0].DegradedFraction == 0.6 }},
		{"criticality by request", "value_by=request", func(config *Config) bool { return config.Methods[0].Criticality == 1 }},
		{"unknown settings are ignored", "tier.new=1\nfam.shared_thrash=0.4", func(config *Config) bool { return config.Node.Cores == 6 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config, err := Parse(settings + c.text)
			if err != nil {
				t.Fatal(err)
			}
			if !c.check(config) {
				t.Errorf("config: got %+v", config)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(settings)
	f.Fuzz(func(t *testing.T, text string) {
		if config, err := Parse(text); err == nil && len(config.Methods) == 0 {
			t.Error("parsed settings have no method, want an error")
		}
	})
}

const process = `{"name":"n3","listen":"127.0.0.1:8080","engine":"127.0.0.2:4400","members":"127.0.0.3:2379",
"seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":0.5,"memory_mb":128,"sockets":512},"settings":{
"classes":[{"name":"view","aim":1800000000,"idempotency":"read_like","late_worth":0.2},{"name":"buy","idempotency":"idempotency_key","window":5000000000}],
"customers":[{"name":"acme","quota_rps":52.0}],"client_habits":{"marks_retry":true},"limits":{"retry_after":true,"max_retry_after":1000000000},
"family_info":{"cores":6,"halt":"suspend","meters":["core_use","on_cores"],"worth_without":[0.0,0.3]},"new":{"key":[1,{"a":null}]}}}`

func TestParseProcess(t *testing.T) {
	cases := []struct{ name, old, new, wantErr string }{
		{"valid", "", "", ""},
		{"not JSON", `{"name"`, `{name`, "must be a JSON object"},
		{"data after the object", `}}}`, `}}}{`, "must be one JSON object"},
		{"no name", `"name":"n3",`, "", "name: must be a string, got nothing"},
		{"a name of another type", `"n3"`, "3", `name: must be a string, got "3"`},
		{"a name that is invalid in a path", `"n3"`, `"a/b"`, "name: must be a name that is valid in a URL path"},
		{"no port", "127.0.0.2:4400", "127.0.0.2", "engine: must be an IP address and a port"},
		{"port out of range", "127.0.0.3:2379", "127.0.0.3:70000", "members: must be an IP address and a port"},
		{"a host name instead of an IP address", "127.0.0.3:2379", "db:2379", "members: must be an IP address and a port"},
		{"invalid seed", "8c1f", "xyz", "seed: must be up to 16 hex digits"},
		{"negative stop timeout", "3200", "-1", "stop_ms: must be a number of at least 0"},
		{"memory out of range", `"memory_mb":128`, `"memory_mb":1`, "limits.memory_mb: must be a number from 16"},
		{"sockets of another type", "512", `"512"`, "limits.sockets: must be a number"},
		{"settings of another type", `"settings":{`, `"settings":7,"other":{`, "settings: must be an object"},
		{"no method", `"classes"`, `"other"`, "settings.classes.count: must be at least 1"},
		{"a time of another type", "1800000000", `"soon"`, "settings.classes.0.aim: must be a number of at least 0"},
		{"an object for a number", `"cores":6`, `"cores":{"a":1}`, "settings.family_info.cores: must be a number"},
		{"a boolean of another type", `"marks_retry":true`, `"marks_retry":1`, "settings.client_habits.marks_retry: must be true or false"},
		{"unknown idempotency", "idempotency_key", "maybe", "settings.classes.1.idempotency: must be read_like"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, err := parseProcess([]byte(strings.Replace(process, c.old, c.new, 1)), "", "127.0.0.9:1")
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Fatalf("got error %v, want one that contains %q", err, c.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			config := p.Settings
			if p.Name != "n3" || p.Listen != "127.0.0.9:1" || p.StopTimeout.Milliseconds() != 3200 || p.Cores != 0.5 ||
				p.MemoryMB != 128 || p.Sockets != 512 || config.Node.Seed != 0x8c1f30d27a5be964 || config.Node.Cores != 6 ||
				config.Node.Preemption != control.PreemptSuspend || !config.Fleet.MarksRetries || config.Fleet.MaxRetryAfter != 1000 ||
				len(config.Methods) != 2 || config.Methods[0].LateFraction != 0.2 || config.Methods[1].DegradedFraction != 0.3 ||
				config.Methods[1].DedupWindow != 5000 || config.Customers[0].Name != "acme" || len(config.Gauges) != 2 {
				t.Errorf("process configuration: got %+v with settings %+v", p, config)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	valid, broken := dir+"/valid.json", dir+"/broken.json"
	for file, text := range map[string]string{valid: process, broken: "{"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for file, wantErr := range map[string]string{valid: "", broken: "broken.json: must be a JSON object", "": "EDGE_CONFIG: must be the path", dir + "/none": "EDGE_CONFIG: open"} {
		env := map[string]string{"EDGE_CONFIG": file, "EDGE_NAME": "n7"}
		p, err := Load(func(key string) string { return env[key] })
		if wantErr == "" && (err != nil || p.Name != "n7") || wantErr != "" && (err == nil || !strings.Contains(err.Error(), wantErr)) {
			t.Errorf("load %s: got %+v, error %v, want error %q", file, p, err, wantErr)
		}
	}
}

func TestRestartOnlyChanges(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"nothing changed", "", "", "[]"},
		{"a reloadable key", "127.0.0.2:4400", "127.0.0.2:4401", "[]"},
		{"another seed", "8c1f", "8c1e", "[seed]"},
		{"one value of a list", `"late_worth":0.2`, `"late_worth":0.3`, "[settings.classes.0.late_worth]"},
		{"an added key", `"memory_mb"`, `"x":1,"memory_mb"`, "[limits.x]"},
	}
	previous, err := parseProcess([]byte(process), "", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, err := parseProcess([]byte(strings.Replace(process, c.old, c.new, 1)), "", "")
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(previous.RestartOnlyChanges(next)); got != c.want {
				t.Errorf("restart-only changes: got %s, want %s", got, c.want)
			}
			if reversed := fmt.Sprint(next.RestartOnlyChanges(previous)); reversed != c.want {
				t.Errorf("restart-only changes in the opposite direction: got %s, want %s", reversed, c.want)
			}
		})
	}
}
