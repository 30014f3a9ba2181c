package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/knapweedgw/knapweedgw/settings"
)

const (
	apiKey  = "key"
	region  = "cantabrico"
	model   = "asistente-lm"
	service = "obras-api"
)

// fleet is the processes of a test: the stand-ins for the platform, engines and services, and nodes
// behind one load balancer.
type fleet struct {
	platform    *process
	platformURL string
	engines     []*process
	engineURLs  []string
	serviceURLs []string
	nodes       []*nodeProcess
	balancer    *balancer
}

// nodeProcess is a running node; url is where it serves callers.
type nodeProcess struct {
	*process
	id, url string
}

// startFleet starts a fleet with the given numbers of nodes and engines and two services, and waits
// until the balancer sends requests to every node.
func startFleet(t *testing.T, nodes, engines int) *fleet {
	t.Helper()
	f := &fleet{balancer: startBalancer(t)}
	addr := freeAddr(t)
	f.platformURL = "http://" + addr
	f.platform = start(t, "knapweedlab", "platform", "--listen", addr)
	eventually(t, "platform answers", func() bool { return answersOK(f.platformURL + "/v1/vms") })
	for i := range engines {
		p, url := f.startTarget(t, "engine", fmt.Sprint("engine-", i), model)
		f.engines, f.engineURLs = append(f.engines, p), append(f.engineURLs, url)
	}
	for i := range 2 {
		_, url := f.startTarget(t, "service", fmt.Sprint("service-", i), service)
		f.serviceURLs = append(f.serviceURLs, url)
	}
	f.putSettings(t)
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(t, fmt.Sprint("node-", i)))
	}
	for _, n := range f.nodes {
		f.addToBalancer(t, n)
	}
	return f
}

// startTarget starts an engine or a service and waits until it answers. It returns the process and
// its URL.
func (f *fleet) startTarget(t *testing.T, role, id, pool string) (*process, string) {
	t.Helper()
	addr := freeAddr(t)
	p := start(t, "knapweedlab", role, "--platform", f.platformURL, "--id", id, "--listen", addr, "--pool", pool)
	url := "http://" + addr
	eventually(t, id+" answers", func() bool { return answersOK(url + "/lab/runs") })
	return p, url
}

// putSettings writes the settings of the team with the model, the service and a workspace key.
func (f *fleet) putSettings(t *testing.T) {
	t.Helper()
	doc := fmt.Sprintf(`{"models":{%q:{}},"services":{%q:{}},"workspaces":{"ws":{"keys_sha256":[%q]}}}`,
		model, service, settings.KeyDigest(apiKey))
	file := filepath.Join(t.TempDir(), "team.json")
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "knapweedgw", "settings", "set", "renovacion", file, "--store", f.platformURL)
	if p.exitCode(t) != 0 {
		t.Fatal(p.out.String())
	}
}

// startNode registers a VM for a node and starts the node; args are further arguments. It doesn't
// wait until the node is ready.
func (f *fleet) startNode(t *testing.T, id string, args ...string) *nodeProcess {
	t.Helper()
	listen, peer := freeAddr(t), freeAddr(t)
	vm := start(t, "knapweedlab", "vm", "--platform", f.platformURL, "--id", id, "--listen", listen, "--peer", peer)
	if vm.exitCode(t) != 0 {
		t.Fatal(vm.out.String())
	}
	p := start(t, "knapweedgw", append([]string{
		"serve", "--node-id", id, "--region", region, "--failure-domain", "santander-a",
		"--listen", listen, "--peer-listen", peer, "--store", f.platformURL, "--vm-list", f.platformURL + "/v1/vms",
	}, args...)...)
	return &nodeProcess{process: p, id: id, url: "http://" + listen}
}

// addToBalancer adds a node to the balancer and waits until it receives requests.
func (f *fleet) addToBalancer(t *testing.T, n *nodeProcess) {
	t.Helper()
	f.balancer.add(n.url)
	eventually(t, n.id+" is ready", func() bool {
		if n.exited() {
			t.Fatalf("%s ended:\n%s", n.id, n.out.String())
		}
		return f.balancer.routesTo(n.url)
	})
}

// loadResult is the counts that a load generator printed: requests, complete answers (whole),
// answers that belong to another caller (wrong), requests that ran more than once (doubled) and
// requests that ran although the caller got a refusal which states that they didn't (falseNotRun).
type loadResult struct{ requests, whole, wrong, doubled, falseNotRun int }

// startLoad starts a load generator that sends the given number of chats through the balancer and
// exits. At the end it reads from the given engines and from the services what they ran.
func (f *fleet) startLoad(t *testing.T, chats int, engineURLs []string, args ...string) *process {
	t.Helper()
	return start(t, "knapweedlab", append([]string{
		"load", "--nodes", f.balancer.url, "--keys", apiKey, "--model", model, "--service", service,
		"--engines", strings.Join(engineURLs, ","), "--services", strings.Join(f.serviceURLs, ","),
		"--chats", strconv.Itoa(chats), "--turns", "4", "--max-tokens", "100", "--think", "50ms",
	}, args...)...)
}

// awaitLoad waits until a load generator exits and returns its result.
func (f *fleet) awaitLoad(t *testing.T, generator *process) loadResult {
	t.Helper()
	_ = generator.exitCode(t)
	out := generator.out.String()
	o := loadResult{
		requests: parseCount(t, out, `(?m)^requests\s+(\d+)`), whole: parseCount(t, out, `(?m)^whole answers\s+(\d+)`),
		wrong:   parseCount(t, out, `(?m)^another caller's answer\s+(\d+)`),
		doubled: parseCount(t, out, `(?m)^run more than once\s+(\d+)`),
	}
	o.falseNotRun = parseCount(t, out, `(?m)^told not run, but run\s+(\d+)`)
	if o.whole != o.requests {
		t.Log(out)
	}
	if o.whole < o.requests {
		t.Log(out)
	}
	return o
}

// parseCount returns the number that pattern's first group matches in the output.
func parseCount(t *testing.T, out, pattern string) int {
	t.Helper()
	m := regexp.MustCompile(pattern).FindStringSubmatch(out)
	if m == nil {
		t.Fatalf("no match of %s in:\n%s", pattern, out)
	}
	n, _ := strconv.Atoi(m[1])
	return n
}

// removeVM removes a VM from the platform's list.
func (f *fleet) removeVM(t *testing.T, id string) {
	t.Helper()
	eventually(t, id+" is removed from the VM list", func() bool { return sendOK("DELETE", f.platformURL+"/lab/vms/"+id, "") })
}

// anyEngineUsed reports whether an engine has run a request.
func (f *fleet) anyEngineUsed() bool {
	for _, url := range f.engineURLs {
		if engineRequests(url) > 0 {
			return true
		}
	}
	return false
}
