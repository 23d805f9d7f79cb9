/**
 * The agent on a site whose runners check instance and version themselves: it brings
 * weights to its engine and tells entries what the engine holds; requests do not pass
 * through it.
 */
package org.wisteriapost.agent.site;
