/**
 * Commands of the one binary; each registers itself.
 */
package org.wisteriapost.kernel.command;
