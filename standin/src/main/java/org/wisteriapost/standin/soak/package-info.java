/**
 * Long randomized tests with fault injection: the production state machines of entries
 * and agents in virtual time, with fakes at the interfaces. A seed determines its run.
 */
package org.wisteriapost.standin.soak;
