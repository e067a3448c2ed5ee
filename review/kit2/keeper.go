package main

import "fmt"

// startKeeper starts a permit service of one replica and gives it a roster. It returns its address for clients.
func (s *stage) startKeeper(roster string) (addr string, err error) {
	var raft string
	if err := s.freeAddresses(&raft, &addr); err != nil {
		return "", err
	}
	p, err := s.start("k0", nil, "valvepermitd", "serve", "--name", "k0", "--dir", s.path("k0"), "--new", "--peer", "k0="+raft+","+addr)
	if err != nil {
		return "", err
	}
	if err := s.waitLogged(p, "permitserver.leadership_acquired", 1); err != nil {
		return "", err
	}
	if err := s.write("roster.json", roster); err != nil {
		return "", err
	}
	_, err = s.command("valvepermitd", "set", "--keepers", addr, s.path("roster.json"))
	return addr, err
}

// roster is a roster with a limit of one server and one member of the pool pages.
func roster(servers []string, members ...*app) string {
	text := `{"servers":[`
	for i, name := range servers {
		text += separator(i) + fmt.Sprintf(`{"name":%q}`, name)
	}
	text += `],"members":[`
	for i, m := range members {
		text += separator(i) + fmt.Sprintf(`{"pool":"pages","name":%q}`, m.addr)
	}
	return text + `],"limits":{"fleet":{"number":1},"zone":{},"group":{},"pools":{"pages":{"number":1}}}}`
}

func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}
