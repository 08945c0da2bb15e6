package cmd

import (
	"bufio"
	"os"
	"syscall"
	"testing"
)

func TestRunUntilSignal(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = w
	defer func() { os.Stdout = stdout }()
	stopped := make(chan struct{})
	code := make(chan int)
	go func() { code <- Run("127.0.0.1:9", func() { close(stopped) }) }()
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil || line != "listening 127.0.0.1:9\n" {
		t.Fatalf("line %q, %v", line, err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-stopped
	if got := <-code; got != ExitOK {
		t.Errorf("exit code %d", got)
	}
}

func TestParse(t *testing.T) {
	type options struct {
		ID string `long:"id"`
	}
	tests := []struct {
		args []string
		code int
		ok   bool
	}{
		{[]string{"--id", "e1"}, ExitOK, true},
		{[]string{"--unknown"}, ExitUsage, false},
		{[]string{"stray"}, ExitUsage, false},
	}
	for _, tt := range tests {
		var got options
		if code, ok := Parse("test", &got, tt.args); code != tt.code || ok != tt.ok {
			t.Errorf("%v: code %d, %v", tt.args, code, ok)
		}
	}
}
