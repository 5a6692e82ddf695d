package corehost

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCorehost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Corehost")
}
